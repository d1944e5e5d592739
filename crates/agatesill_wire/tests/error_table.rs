//! Checks that the error table covers every error kind.

use agatesill_wire::error::ERROR_TABLE;
use agatesill_wire::prelude::*;

#[test]
fn every_kind_has_its_own_row() {
    for (index, row) in ERROR_TABLE.iter().enumerate() {
        assert_eq!(
            row.kind as usize, index,
            "{} is not at the index of its discriminant",
            row.name
        );
        assert_eq!(ErrorKind::from_name(row.name), Some(row.kind));
        assert!((400..600).contains(&row.status), "{}", row.name);
    }
}

#[test]
fn error_round_trips_through_response_body() {
    for row in &ERROR_TABLE {
        let error = Error::new(row.kind, "detail").retry_after(7);
        let body = ErrorBody::from(&error);
        assert_eq!(body.was_run, row.was_run);
        assert_eq!(Error::from(body), error);
    }
}

//! The table from kind to answer covers the closed list, row by row.

use agatesill_wire::error::TABLE;
use agatesill_wire::prelude::*;

#[test]
fn every_kind_has_its_own_row() {
    for (index, row) in TABLE.iter().enumerate() {
        assert_eq!(row.kind as usize, index, "{} stands in the wrong place", row.name);
        assert_eq!(ErrorKind::from_name(row.name), Some(row.kind));
        assert!((400..600).contains(&row.status), "{}", row.name);
    }
}

#[test]
fn a_body_carries_the_kind_both_ways() {
    for row in &TABLE {
        let error = Error::new(row.kind, "detail").retry_after(7);
        let body = ErrorBody::from(&error);
        assert_eq!(body.was_run, row.was_run);
        assert_eq!(Error::from(body), error);
    }
}

//! Authorization on the admin address.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use agatesill_wire::http::{OPERATOR_HEADER, TOKEN_HEADER};
use agatesill_wire::prelude::*;
use agatesilld::authorization::operator;
use hyper::header::{HeaderMap, HeaderValue};

fn headers(name: &str, token: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(OPERATOR_HEADER, HeaderValue::from_str(name).unwrap());
    headers.insert(TOKEN_HEADER, HeaderValue::from_str(token).unwrap());
    headers
}

/// Someone on the operators' network guesses tokens, omits them or uses another operator's name.
/// Only a name with its own token may make changes; all others must get the typed error.
#[test]
fn only_a_name_with_its_own_token_is_authorized() {
    let pairs = [("nora", "correct-horse"), ("ion", ""), ("ana", "battery")];
    let tokens: BTreeMap<String, String> =
        pairs.iter().map(|(name, token)| ((*name).to_owned(), (*token).to_owned())).collect();
    assert_eq!(operator(&tokens, &headers("nora", "correct-horse"), "test").unwrap(), "nora");
    let refused = [
        headers("nora", "battery"),
        headers("nora", "correct-hors"),
        headers("nora", ""),
        headers("ion", ""),
        headers("stranger", ""),
        headers("", "correct-horse"),
        HeaderMap::new(),
    ];
    for headers in refused {
        let error = operator(&tokens, &headers, "test").unwrap_err();
        assert_eq!(error.kind, ErrorKind::Forbidden, "{headers:?}");
    }
}

/// Without tokens in the settings, names are accepted as given, and a call without one is logged
/// under a default name.
#[test]
fn names_are_accepted_without_tokens() {
    let tokens = BTreeMap::new();
    assert_eq!(operator(&tokens, &headers("ion", ""), "test").unwrap(), "ion");
    assert_eq!(operator(&tokens, &HeaderMap::new(), "test").unwrap(), "unnamed");
    assert!(operator(&tokens, &headers(&"x".repeat(65), ""), "test").is_err());
}

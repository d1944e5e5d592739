//! Authorization on the admin address.
//!
//! Reading needs no authorization: the address is normally on loopback. Every change carries an
//! operator name and, if the settings contain tokens, that operator's token. Without tokens the
//! name is accepted as given, and a missing one is logged as `unnamed`.

use std::collections::BTreeMap;

use agatesill_wire::http::{OPERATOR_HEADER, TOKEN_HEADER};
use agatesill_wire::prelude::*;
use hyper::header::HeaderMap;
use subtle::ConstantTimeEq;

/// Operator name of a call without one, where names are not required.
pub const UNNAMED: &str = "unnamed";

/// Maximum length of an operator name.
const MAX_NAME_BYTES: usize = 64;

/// Returns the operator who is authorized to make a change, or an error that has been logged.
pub fn operator(
    tokens: &BTreeMap<String, String>,
    headers: &HeaderMap,
    action: &str,
) -> Result<String, Error> {
    let name = header(headers, OPERATOR_HEADER).unwrap_or(UNNAMED);
    let outcome = check(tokens, headers, name);
    if let Err(error) = &outcome {
        let shown: String = name.chars().take(MAX_NAME_BYTES).collect();
        log::warn!(event = "operator_refused", operator = shown.as_str(), action = action;
            "{error}");
    }
    outcome.map(|()| name.to_owned())
}

fn check(tokens: &BTreeMap<String, String>, headers: &HeaderMap, name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        let message = format!("{OPERATOR_HEADER}: 1 to {MAX_NAME_BYTES} bytes");
        return Err(Error::new(ErrorKind::Forbidden, message));
    }
    if tokens.is_empty() {
        return Ok(());
    }
    let given = header(headers, TOKEN_HEADER).unwrap_or_default();
    // Guards against guessing a token byte by byte from response times: the comparison takes
    // constant time, and the token of an unknown name is compared as well.
    let expected = tokens.get(name).map_or("", String::as_str);
    let is_equal: bool = expected.as_bytes().ct_eq(given.as_bytes()).into();
    if is_equal && !expected.is_empty() {
        return Ok(());
    }
    let message = format!("operator {name}: {TOKEN_HEADER} is missing or wrong");
    Err(Error::new(ErrorKind::Forbidden, message))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

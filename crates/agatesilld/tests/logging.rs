//! Encoding of log lines as JSON.

use agatesilld::logging::encode;
use log::{Level, Record};

/// A request id contains quotes, a line break and a control character. The line must remain one
/// line of JSON, or log readers lose the lines after it.
#[test]
fn special_characters_stay_in_one_line_of_json() -> Result<(), Box<dyn std::error::Error>> {
    let hostile = "a\"b\\c\nd\u{1}é";
    let pairs: [(&str, log::kv::Value<'_>); 5] = [
        ("request", hostile.into()),
        ("upstream", 7_u32.into()),
        ("delta", (-3_i64).into()),
        ("share", 0.5_f64.into()),
        ("first_hand", true.into()),
    ];
    let line = encode(
        &Record::builder()
            .level(Level::Info)
            .target("agatesilld::decide")
            .args(format_args!("{hostile}"))
            .key_values(&pairs)
            .build(),
    );
    let line = String::from_utf8(line)?;
    assert_eq!(line.matches('\n').count(), 1);
    let value: serde_json::Value = serde_json::from_str(&line)?;
    assert_eq!(value["request"], hostile);
    assert_eq!(value["message"], hostile);
    assert_eq!(value["upstream"], 7);
    assert_eq!(value["delta"], -3);
    assert_eq!(value["share"], 0.5);
    assert_eq!(value["first_hand"], true);
    assert_eq!(value["level"], "info");
    Ok(())
}

//! The limit of log lines of one event.

use agatesilld::fleet::line_limit::LineLimit;

/// Guards against a flood of refused requests that fills the log.
#[test]
fn lines_beyond_the_limit_are_counted_in_place_of_logged() {
    let limit = LineLimit::new(2);
    let admitted: Vec<Option<u64>> = (0..5).map(|_| limit.admit(1_000_000)).collect();
    assert_eq!(admitted, [Some(0), Some(0), None, None, None]);
    assert_eq!(limit.admit(2_000_000), Some(3));
    assert_eq!(limit.admit(2_000_000), Some(0));
}

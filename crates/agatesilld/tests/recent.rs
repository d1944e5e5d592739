//! Lookups of `explain` among the newest decisions.

use agatesilld::recent;

fn line(request: &str, worker: u32) -> Vec<u8> {
    format!("{{\"event\":\"route\",\"request\":\"{request}\",\"worker\":{worker}}}\n").into_bytes()
}

#[test]
fn lines_are_found_by_whole_value_and_the_oldest_are_dropped() {
    recent::append([line("r1", 1), line("r11", 11), line("r1", 12)].into_iter());
    assert_eq!(recent::find("request", "r1").len(), 2);
    assert_eq!(recent::find("worker", "1").len(), 1, "1 is not the beginning of 11");
    assert!(recent::find("request", "r").is_empty());
    let many = (0..2 * recent::MAX_BYTES / 40).map(|nth| line(&format!("n{nth}"), 7));
    recent::append(many);
    assert!(recent::find("request", "r1").is_empty(), "older than the limit");
    assert_eq!(recent::find("worker", "7").len(), recent::MAX_ANSWER_LINES);
}

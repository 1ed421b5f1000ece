use super::*;

#[test]
fn lines_beyond_the_limit_are_left_out_and_counted_by_kind() {
    let mut limit = LineLimit::default();

    let written = (0..MAX_LINES_PER_SECOND + 3).filter(|_| limit.admit("start failed")).count();
    let is_other_written = limit.admit("run ended");

    assert_eq!(u32::try_from(written), Ok(MAX_LINES_PER_SECOND));
    assert!(is_other_written);
    assert_eq!(limit.start_second(), [("start failed", 3)]);
}

#[test]
fn a_new_second_allows_as_many_lines_again() {
    let mut limit = LineLimit::default();
    while limit.admit("run ended") {}

    limit.start_second();

    assert!(limit.admit("run ended"));
    assert!(limit.start_second().is_empty());
}

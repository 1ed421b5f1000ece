use super::*;

#[test]
fn what_is_recorded_shows_in_the_text_as_long_as_a_clone_is_kept() {
    let metrics = Metrics::new().unwrap();
    let clone = metrics.clone();
    drop(metrics);

    clone.record_retry("orders");

    let text = String::from_utf8(clone.encode()).unwrap();
    assert!(text.contains("teaselgap_repeats"), "{text}");
    assert!(text.contains("service=\"orders\""), "{text}");
}

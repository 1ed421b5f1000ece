use teaselgap_core::{
    Span,
    job::{JobEnd, JobId, LogEvent},
};

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

#[test]
fn the_ends_of_jobs_are_counted_by_cell_with_their_times_in_seconds() {
    let metrics = Metrics::new().unwrap();
    let finished =
        |job, end, after_ms| LogEvent::Finished { job: JobId(job), end, after: Span(after_ms) };

    metrics.record_decision("quotes", &finished(1, JobEnd::Succeeded, 900));
    metrics.record_decision("quotes", &finished(2, JobEnd::Succeeded, 1_200));
    metrics.record_decision("prints", &finished(3, JobEnd::Failed, 40));

    let text = String::from_utf8(metrics.encode()).unwrap();
    let lines: Vec<&str> = text.lines().filter(|line| line.contains("teaselgap_job_")).collect();
    let value = |name: &str, labels: [&str; 2]| {
        let is_wanted = |line: &&&str| {
            line.starts_with(name) && labels.iter().all(|label| line.contains(label))
        };
        lines.iter().find(is_wanted).and_then(|line| line.rsplit(' ').next())
    };
    let succeeded = ["cell=\"quotes\"", "end=\"succeeded\""];
    assert_eq!(value("teaselgap_job_ends", succeeded), Some("2"), "{text}");
    assert_eq!(value("teaselgap_job_ends", ["cell=\"prints\"", "end=\"failed\""]), Some("1"));
    assert_eq!(value("teaselgap_job_seconds_sum", succeeded), Some("2.1"));
}

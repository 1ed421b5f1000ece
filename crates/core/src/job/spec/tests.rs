use super::*;

fn spec_with_label(label_bytes: usize) -> JobSpec {
    let label = Some("x".repeat(label_bytes));
    let step = Step { count: 1, label, ..Step::default() };
    JobSpec { payload: String::new(), steps: vec![step], schedule: None }
}

#[test]
fn a_job_that_does_not_fit_into_the_store_is_invalid() {
    assert_eq!(spec_with_label(1_000).validate(), Ok(()));

    assert!(spec_with_label(2_000_000).validate().is_err());
}

use super::*;
use crate::job::JobEnd;

const RETENTION: Span = Span(1_000);

/// A job that ended at this time.
fn ended_job(ended: Timestamp) -> Job {
    let queue = "quotes".parse().unwrap();
    let mut job = Job::new(queue, std::sync::Arc::default(), 0, Timestamp(0));
    job.end = Some(JobEnd::Succeeded);
    job.ended = ended;
    job.is_end_durable = true;
    job
}

fn open_ids(table: &JobTable) -> Vec<u64> {
    table.open().map(|(id, _)| id.0).collect()
}

#[test]
fn open_jobs_keep_their_order_when_one_ends() {
    let mut table = JobTable::default();
    for id in 1..=4 {
        table.insert(JobId(id), Job { end: None, ..ended_job(Timestamp(0)) });
    }

    table.get_mut(&JobId(2)).unwrap().end = Some(JobEnd::Succeeded);
    table.close(JobId(2));

    assert_eq!(open_ids(&table), [1, 3, 4]);
    assert!(table.get(&JobId(2)).is_some());
}

#[test]
fn jobs_are_removed_in_the_order_of_their_ends() {
    let mut table = JobTable::default();
    table.insert(JobId(1), ended_job(Timestamp(300)));
    table.insert(JobId(2), ended_job(Timestamp(100)));
    table.insert(JobId(3), ended_job(Timestamp(200)));
    table.close_ended();

    let removed = table.remove_expired(RETENTION, Timestamp(1_201));

    assert_eq!(removed, [JobId(2), JobId(3)]);
    assert!(!table.contains_key(&JobId(2)));
    assert!(table.contains_key(&JobId(1)));
}

#[test]
fn a_job_whose_end_is_not_durable_stays() {
    let mut table = JobTable::default();
    table.insert(JobId(1), Job { is_end_durable: false, ..ended_job(Timestamp(100)) });
    table.insert(JobId(2), ended_job(Timestamp(200)));
    table.close_ended();

    assert_eq!(table.remove_expired(RETENTION, Timestamp(2_000)), [JobId(2)]);

    table.get_mut(&JobId(1)).unwrap().is_end_durable = true;

    assert_eq!(table.remove_expired(RETENTION, Timestamp(2_000)), [JobId(1)]);
}

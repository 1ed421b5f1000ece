use super::{
    super::{
        super::{
            JobId, LogConfig, Record, StoredSegment,
            record::{self, EncodedRecord},
        },
        CellConfig, RecoveredLog, TermClaim,
    },
    *,
};
use crate::job::{AdmissionPolicy, FlowLimits, LinkRate};

const NOW: (Timestamp, u64) = (Timestamp(1_000_000), 1_700_000_000_000);

/// When owners before the cell's term give their last order, if nothing more is known.
const ORDERS_END: Timestamp = Timestamp(1_003_000);

const ENDED: Epoch = Epoch(8);

/// What 700 ms by the clock of the node that reports may last by this one's.
const COUNTED: Span = Span(707);

const TASK: TaskId = TaskId { job: JobId(7), occurrence: 0, step: 0, index: 0 };

fn config() -> CellConfig {
    CellConfig {
        lease: Span(5_500),
        max_lease: Span(10_000),
        stop_timeout: Span(500),
        status_retention: Span(120_000),
        admission: AdmissionPolicy::AcceptLate,
        log: LogConfig::default(),
        flow: FlowLimits::new(LinkRate::from_mbps(1_000.0), 1.0),
    }
}

/// Creates the cell after term [`ENDED`], in which these workers were used.
fn cell(workers: &[&str], more: &[Record]) -> Cell {
    let used = |worker: &&str| Record::WorkerUsed {
        worker: (*worker).into(),
        instance: None,
        stray_until_ms: None,
        is_copy: false,
    };
    let records = workers.iter().map(used).chain(more.iter().cloned());
    let encoded: Vec<EncodedRecord> = records.map(|record| EncodedRecord::new(&record)).collect();
    let value = record::encode_segment(ENDED, Span(0), Timestamp(500), &encoded);
    let segments = vec![StoredSegment::decode(0, &value).unwrap()];
    let recovered = RecoveredLog { next: 1, segments };
    Cell::new(
        config(),
        ("drums".parse().unwrap(), Epoch(9)),
        recovered,
        &TermClaim::unseen(ORDERS_END),
        NOW,
    )
}

/// What is reported of a term with these workers, each with what is left of its leases in milliseconds.
fn report(epoch: Epoch, workers: &[(&str, Option<u64>)]) -> TermEndReport {
    let workers = workers.iter().map(|(id, left)| ((*id).into(), left.map(Span)));
    let (earlier_orders_left, starts) = (Span(0), Vec::new());
    TermEndReport { epoch, earlier_orders_left, workers: workers.collect(), starts }
}

fn deadlines(cell: &Cell) -> Vec<(&str, Timestamp)> {
    cell.inherited_workers.iter().map(|(id, deadline)| (id.as_str(), *deadline)).collect()
}

#[test]
fn a_worker_is_waited_for_until_its_reported_lease_has_expired_and_not_longer() {
    let mut cell = cell(&["w0", "w1", "w2"], &[]);
    let unknown = ORDERS_END + cell.longest_lease();

    let effect = cell.on_term_end(&report(ENDED, &[("w0", Some(700)), ("w1", None)]), NOW.0);

    assert_eq!(deadlines(&cell), [("w0", NOW.0 + COUNTED), ("w1", unknown)]);
    let effect = effect.unwrap();
    assert_eq!((effect.released, effect.shortened, effect.orders_end), (1, 1, NOW.0));
}

#[test]
fn a_report_of_another_term_than_the_last_one_is_not_believed() {
    for epoch in [Epoch(7), Epoch(9), Epoch(10)] {
        let mut cell = cell(&["w0"], &[]);
        let before = cell.inherited_workers.clone();

        let effect = cell.on_term_end(&report(epoch, &[]), NOW.0);

        assert_eq!(effect, None, "{epoch:?}");
        assert_eq!(cell.inherited_workers, before, "{epoch:?}");
    }
}

#[test]
fn a_report_of_a_term_that_was_handed_over_does_not_replace_the_record() {
    let worker = "w0".into();
    let pending =
        super::super::super::UnsettledWorker { worker, lapse_wall_ms: 0, lapse_in_ms: Some(4_000) };
    let mut cell = cell(&["w0"], &[Record::HandedOver { pending: vec![pending] }]);

    let effect = cell.on_term_end(&report(ENDED, &[]), NOW.0);

    assert_eq!(effect, None);
    assert_eq!(deadlines(&cell), [("w0", NOW.0 + Span(4_000))]);
}

#[test]
fn a_report_that_comes_again_prolongs_no_wait() {
    let mut cell = cell(&["w0"], &[]);
    let report = report(ENDED, &[("w0", Some(700))]);
    cell.on_term_end(&report, NOW.0);

    let effect = cell.on_term_end(&report, NOW.0 + Span(400));

    assert_eq!(deadlines(&cell), [("w0", NOW.0 + COUNTED)]);
    assert_eq!(effect.map(|effect| (effect.released, effect.shortened)), Some((0, 0)));
}

/// Each owner leaves what the one before has left it.
#[test]
fn a_worker_that_an_owner_has_not_heard_keeps_its_deadline_in_the_report() {
    let mut cell = cell(&["w0"], &[]);
    cell.on_term_end(&report(ENDED, &[("w0", Some(700))]), NOW.0);

    let end = cell.term_end(NOW.0 + Span(100));

    let reported = end.report(NOW.0 + Span(200));
    assert_eq!(reported.workers.get("w0"), Some(&Some(Span(COUNTED.0 - 200))));
    assert_eq!(end.epoch(), Epoch(9));
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let start =
        StartReport { worker: "w0".into(), task: TASK, attempt: 2, lease_left: Span(12_000) };
    let sent =
        TermEndReport { starts: vec![start], ..report(ENDED, &[("w0", Some(700)), ("w1", None)]) };

    let json = serde_json::to_vec(&sent).unwrap();

    assert_eq!(serde_json::from_slice::<TermEndReport>(&json).unwrap(), sent);
}

/// An order that no record names is waited for no longer than an owner that knew nothing would.
#[test]
fn a_reported_start_order_is_not_open_for_longer_than_orders_could_be_given() {
    let mut cell = cell(&["w0"], &[]);
    let start =
        StartReport { worker: "w0".into(), task: TASK, attempt: 2, lease_left: Span(25_000) };

    let report = TermEndReport { starts: vec![start], ..report(ENDED, &[("w0", Some(700))]) };
    cell.on_term_end(&report, NOW.0);
    cell.on_term_end(&report, NOW.0 + Span(400));

    let orders = cell.inherited_starts.take(&"w0".into());
    let expiries: Vec<Timestamp> = orders.iter().map(|order| order.expiry).collect();
    assert_eq!(expiries, [ORDERS_END]);
}

use indexmap::IndexMap;

use super::*;
use crate::Incarnation;

pub(super) fn life(i: u64) -> NodeIncarnation {
    NodeIncarnation { node: format!("n{i}").parse().unwrap(), incarnation: Incarnation(1) }
}

pub(super) fn intent(id: &str, at: u64) -> Intent {
    Intent {
        id: id.parse().unwrap(),
        attempt: at,
        at_most_once: true,
        customer: "c".parse().unwrap(),
        service: "orders".parse().unwrap(),
        at: life(at),
        time_ms: 1,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        head: Vec::new(),
        body: vec![1, 2, 3],
        truncated: false,
        fingerprint: 7,
    }
}

pub(super) fn end(id: &str, kind: OutcomeKind) -> Arc<Conclusion> {
    Arc::new(conclusion(id, kind))
}

fn conclusion(id: &str, kind: OutcomeKind) -> Conclusion {
    Conclusion {
        id: id.parse().unwrap(),
        attempt: 1,
        customer: "c".parse().unwrap(),
        time_ms: 2,
        outcome: Outcome::without_answer(kind),
    }
}

fn partition() -> Partition {
    Partition::new(
        Config { conclusion_delay: Span(0), ..Config::default() },
        1,
        IndexMap::new(),
        100,
    )
}

fn run(act: impl FnOnce(&mut Vec<Action>)) -> Vec<Action> {
    let mut out = Vec::new();
    act(&mut out);
    out
}

fn written_segment(actions: &[Action]) -> &Segment {
    match actions.iter().find(|action| matches!(action, Action::Write(_))) {
        Some(Action::Write(segment)) => segment,
        _ => panic!("no write in {actions:?}"),
    }
}

#[test]
fn an_intent_is_answered_only_after_its_segment_is_in_place() {
    let mut partition = partition();

    let before = run(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    let after = run(|out| partition.handle_write_result(1, WriteResult::Done, out));

    assert_eq!(before.len(), 1);
    assert_eq!(after, [Action::Answer(Token(1), Verdict::Recorded)]);
}

#[test]
fn all_that_arrives_during_a_write_goes_into_the_next_segment() {
    let mut partition = partition();
    run(|out| partition.submit_intent(Token(0), intent("first", 1), out));

    for i in 1..=50 {
        let out = run(|out| partition.submit_intent(Token(i), intent(&format!("r{i}"), 1), out));
        assert_eq!(out, []);
    }
    let next = run(|out| partition.handle_write_result(1, WriteResult::Done, out));

    assert_eq!(written_segment(&next).records.len(), 50);
}

#[test]
fn a_second_arrival_is_never_told_to_send() {
    let mut partition = partition();
    run(|out| partition.submit_intent(Token(1), intent("a", 1), out));

    let during = run(|out| partition.submit_intent(Token(2), intent("a", 2), out));
    run(|out| partition.handle_write_result(1, WriteResult::Done, out));
    run(|out| partition.conclude(None, end("a", OutcomeKind::Ran), out));
    let after = run(|out| partition.submit_intent(Token(3), intent("a", 2), out));

    assert_eq!(during, [Action::Answer(Token(2), Verdict::Open(life(1)))]);
    let outcome = Outcome::without_answer(OutcomeKind::Ran);
    assert_eq!(after, [Action::Answer(Token(3), Verdict::Concluded(outcome))]);
}

#[test]
fn the_end_of_one_arrival_does_not_end_another() {
    let mut partition = partition();
    run(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    run(|out| partition.handle_write_result(1, WriteResult::Done, out));

    let other = Conclusion { attempt: 2, ..conclusion("a", OutcomeKind::NotRun) };
    run(|out| partition.conclude(None, Arc::new(other), out));
    let again = run(|out| partition.submit_intent(Token(2), intent("a", 2), out));

    assert_eq!(again, [Action::Answer(Token(2), Verdict::Open(life(1)))]);
}

#[test]
fn the_same_id_with_another_body_is_refused() {
    let mut partition = partition();
    run(|out| partition.submit_intent(Token(1), intent("a", 1), out));

    let other = Intent { fingerprint: 8, ..intent("a", 1) };
    let out = run(|out| partition.submit_intent(Token(2), other, out));

    assert_eq!(out, [Action::Answer(Token(2), Verdict::Mismatch)]);
}

#[test]
fn what_certainly_did_not_run_may_be_tried_again() {
    let mut partition = partition();
    run(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    run(|out| partition.handle_write_result(1, WriteResult::Done, out));
    run(|out| partition.conclude(None, end("a", OutcomeKind::NotRun), out));
    run(|out| partition.handle_write_result(2, WriteResult::Done, out));

    let again = run(|out| partition.submit_intent(Token(2), intent("a", 2), out));

    assert_eq!(written_segment(&again).sequence, 3);
}

#[test]
fn store_answer_lost_after_write_is_not_written_twice() {
    let mut partition = partition();
    let first = run(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    let nonce = written_segment(&first).nonce;

    let lost = run(|out| partition.handle_write_result(1, WriteResult::Uncertain, out));
    let found = run(|out| partition.handle_read_back(1, Some(nonce), out));

    let refused = Action::Answer(Token(1), Verdict::Refused);
    assert_eq!(lost, [refused, Action::ReadBack(1)]);
    let withdrawn = written_segment(&found);
    assert_eq!(withdrawn.sequence, 2);
    assert_eq!(
        withdrawn.records,
        [Record::Conclusion(Arc::new(Conclusion {
            time_ms: 1,
            ..conclusion("a", OutcomeKind::NotRun)
        }))]
    );
}

#[test]
fn after_a_lost_answer_a_failure_or_refusal_of_the_next_try_is_not_taken_as_certain() {
    for second in [WriteResult::Failed, WriteResult::Fenced] {
        let mut partition = partition();
        let first = run(|out| partition.submit_intent(Token(1), intent("a", 1), out));
        let nonce = written_segment(&first).nonce;
        run(|out| partition.handle_write_result(1, WriteResult::Uncertain, out));
        run(|out| partition.handle_read_back(1, None, out));

        let doubt = run(|out| partition.handle_write_result(1, second, out));
        let found = run(|out| partition.handle_read_back(1, Some(nonce), out));

        assert_eq!(doubt, [Action::ReadBack(1)]);
        assert_eq!(written_segment(&found).sequence, 2);
    }
}

#[test]
fn a_segment_of_another_writer_ends_the_term() {
    let mut partition = partition();
    run(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    run(|out| partition.handle_write_result(1, WriteResult::Uncertain, out));

    let out = run(|out| partition.handle_read_back(1, Some(999), out));
    let later = run(|out| partition.submit_intent(Token(2), intent("b", 1), out));

    assert_eq!(out, [Action::Stop]);
    assert_eq!(later, [Action::Answer(Token(2), Verdict::Refused)]);
}

#[test]
fn while_the_store_fails_all_who_wait_are_told_and_an_intent_may_be_tried_again() {
    let mut partition = partition();
    run(|out| partition.submit_intent(Token(1), intent("a", 1), out));
    run(|out| partition.conclude(Some(Token(2)), end("z", OutcomeKind::Ran), out));

    let failed = run(|out| partition.handle_write_result(1, WriteResult::Failed, out));
    let again = run(|out| partition.submit_intent(Token(3), intent("a", 2), out));

    let refused = |token| Action::Answer(Token(token), Verdict::Refused);
    assert_eq!(failed, [refused(1), refused(2)]);
    assert_eq!(written_segment(&again).sequence, 1);
}

#[test]
fn an_idempotent_request_is_recorded_each_time_it_arrives() {
    let mut partition = partition();
    let record = || Record::Intent(Arc::new(Intent { at_most_once: false, ..intent("a", 1) }));

    run(|out| partition.append(Token(1), record(), out));
    let first = run(|out| partition.handle_write_result(1, WriteResult::Done, out));
    let second = run(|out| partition.append(Token(2), record(), out));

    assert_eq!(first, [Action::Answer(Token(1), Verdict::Recorded)]);
    assert_eq!(written_segment(&second).records, [record()]);
}

#[test]
fn a_conclusion_waits_for_an_intent_but_not_for_long() {
    let mut partition = Partition::new(Config::default(), 1, IndexMap::new(), 100);
    run(|out| partition.advance(Timestamp(1_000), out));

    let alone = run(|out| partition.conclude(None, end("a", OutcomeKind::Ran), out));
    let travelling = run(|out| partition.submit_intent(Token(1), intent("b", 1), out));
    run(|out| partition.handle_write_result(1, WriteResult::Done, out));
    let next = run(|out| partition.conclude(None, end("b", OutcomeKind::Ran), out));
    let due = run(|out| partition.advance(Timestamp(1_100), out));

    assert_eq!((alone.len(), next.len()), (0, 0));
    assert_eq!(written_segment(&travelling).records.len(), 2);
    assert_eq!(written_segment(&due).records.len(), 1);
}

#[test]
fn a_segment_stays_within_its_bytes() {
    let cfg = Config { max_bytes: 2_000, conclusion_delay: Span(0), ..Config::default() };
    let mut partition = Partition::new(cfg, 1, IndexMap::new(), 1);
    run(|out| partition.submit_intent(Token(0), intent("first", 1), out));
    for i in 1..=20 {
        run(|out| partition.submit_intent(Token(i), intent(&format!("r{i}"), 1), out));
    }

    let next = run(|out| partition.handle_write_result(1, WriteResult::Done, out));

    let size: usize = written_segment(&next).records.iter().map(Record::size).sum();
    assert!(size <= 2_000 && size > 1_000, "{size}");
}

#[test]
fn recovery_from_a_snapshot_equals_recovery_from_all_segments() {
    let records = |from: u64| {
        (from..from + 10).map(move |i| Segment {
            sequence: i,
            nonce: i,
            records: vec![
                Record::Intent(Arc::new(intent(&format!("r{i}"), 1))),
                Record::Conclusion(end(&format!("r{}", i / 2), OutcomeKind::Ran)),
            ],
        })
    };

    let whole = recover(IndexMap::new(), records(0).chain(records(10)));
    let snapshot = recover(IndexMap::new(), records(0));

    assert_eq!(recover(snapshot, records(10)), whole);
}

#[test]
fn a_story_is_told_once_in_the_order_of_time() {
    let early = Intent { time_ms: 5, ..intent("b", 1) };
    let late = Intent { time_ms: 9, ..intent("a", 1) };
    let records = [
        Record::Intent(Arc::new(late)),
        Record::Intent(Arc::new(early)),
        Record::Conclusion(end("b", OutcomeKind::Ran)),
    ];

    let stories = request_histories(records);

    let ids: Vec<_> = stories.iter().map(|story| story.intent.id.as_str()).collect();
    assert_eq!(ids, ["b", "a"]);
    assert!(stories[0].conclusion.is_some() && stories[1].conclusion.is_none());
}

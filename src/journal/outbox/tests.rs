use std::sync::Arc;

use teaselgap_core::{
    Incarnation,
    duty::NodeIncarnation,
    journal::{Conclusion, Intent},
};

use super::*;

fn intent(attempt: u64) -> Intent {
    Intent {
        id: format!("r{attempt}").parse().unwrap(),
        attempt,
        at_most_once: false,
        customer: "c".parse().unwrap(),
        service: "s".parse().unwrap(),
        at: NodeIncarnation { node: "n".parse().unwrap(), incarnation: Incarnation(1) },
        time_ms: 0,
        method: "GET".to_owned(),
        path: "/".to_owned(),
        head: Vec::new(),
        body: Vec::new(),
        truncated: false,
        fingerprint: 0,
    }
}

fn intent_record(attempt: u64) -> Record {
    Record::Intent(Arc::new(intent(attempt)))
}

fn conclusion_record(attempt: u64) -> Record {
    Record::Conclusion(Arc::new(Conclusion::not_run(&intent(attempt))))
}

#[test]
fn a_conclusion_follows_its_intent_until_the_intent_is_durable() {
    let mut outbox = Outbox::default();
    outbox.push(intent_record(1), None);
    outbox.push(conclusion_record(1), None);

    let batch = outbox.next_batch(LaneKind::Intents, Timestamp(0)).unwrap();

    assert_eq!(batch, [intent_record(1), conclusion_record(1)]);
    assert_eq!(outbox.next_batch(LaneKind::Conclusions, Timestamp(0)), None);
}

#[test]
fn an_intent_does_not_wait_for_conclusions_in_flight() {
    let mut outbox = Outbox::default();
    outbox.push(conclusion_record(1), None);
    assert!(outbox.next_batch(LaneKind::Conclusions, Timestamp(0)).is_some());

    outbox.push(intent_record(2), None);

    assert_eq!(outbox.next_batch(LaneKind::Intents, Timestamp(0)), Some(vec![intent_record(2)]));
}

#[test]
fn a_batch_that_was_not_durable_is_sent_again_after_a_backoff() {
    let mut outbox = Outbox::default();
    outbox.push(intent_record(1), None);
    outbox.next_batch(LaneKind::Intents, Timestamp(0));

    assert_eq!(outbox.on_reply(LaneKind::Intents, false, Timestamp(0)), 0);

    assert_eq!(outbox.next_send_time(), Some(Timestamp(INITIAL_BACKOFF_MS)));
    assert_eq!(
        outbox.next_batch(LaneKind::Intents, Timestamp(INITIAL_BACKOFF_MS)),
        Some(vec![intent_record(1)])
    );
    assert!(outbox.on_reply(LaneKind::Intents, true, Timestamp(30)) > 0);
    assert_eq!(outbox.next_send_time(), None);
}

//! Start orders to workers, sent again while no answer comes.
//!
//! Copies of an order are the same run: a worker that has it answers as if it had just started, and
//! refuses an attempt that is not higher than one that ended or was stopped there. So at most one
//! copy takes effect while an instance of the worker lives. Each copy asks anew whether it may leave.

#[cfg(test)]
mod tests;

use std::cell::Cell;

use teaselgap_core::job::{Fence, StartAnswer, StartOrder, StartOutcome};
use teaselgap_platform::worker::{Target, WorkerClient};

use super::repeat::{Repeated, Repeater};
use crate::clock;

/// Orders a worker to start a task. `permit` gives the fencing token of each copy, or says why it must not be
/// sent. `on_answer` gets the answer as soon as it is known. Returns whether each copy that was sent has been
/// answered then.
pub(super) async fn send(
    repeater: &Repeater,
    client: &WorkerClient,
    (target, order): (&Target, &StartOrder),
    permit: impl Fn() -> Result<Fence, &'static str>,
    on_answer: impl FnOnce(StartAnswer),
) -> bool {
    let last_sent = Cell::new(clock::now());
    let call = async || {
        let fence = match permit() {
            Ok(fence) => fence,
            Err(reason) => return StartOutcome::NotSent(reason).into(),
        };
        last_sent.set(clock::now());
        client.start(target, order, fence).await.0
    };
    let is_started = |answer: &StartAnswer| answer.outcome == StartOutcome::Started;
    let is_unknown = |answer: &StartAnswer| answer.outcome == StartOutcome::Unknown;
    let on_result = |started: Repeated<StartAnswer>| {
        let outcome = match started.result.outcome {
            StartOutcome::Started if started.has_open_copy => StartOutcome::StartedRepeated,
            outcome => outcome,
        };
        on_answer(StartAnswer { outcome, last_sent: Some(last_sent.get()), ..started.result });
    };
    repeater.call_all(call, is_started, is_unknown, on_result).await
}

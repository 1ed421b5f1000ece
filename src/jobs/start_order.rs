//! Start orders to workers, sent again while no answer comes.
//!
//! Copies of an order are the same run: a worker that has it answers as if it had just started, and
//! refuses an attempt that is not higher than one that ended or was stopped there. So at most one
//! copy takes effect while an instance of the worker lives.

#[cfg(test)]
mod tests;

use teaselgap_core::job::{StartOrder, StartOutcome};
use teaselgap_platform::worker::{Target, WorkerClient};

use super::repeat::Repeater;

/// Orders a worker to start a task. No copy is sent once the term has ended.
pub(super) async fn send(
    repeater: &Repeater,
    client: &WorkerClient,
    (target, order): (&Target, &StartOrder),
    is_term_over: impl Fn() -> bool,
) -> StartOutcome {
    let call = async || {
        if is_term_over() {
            return StartOutcome::Refused("the term is over");
        }
        client.start(target, order).await.0
    };
    let is_started = |outcome: &StartOutcome| *outcome == StartOutcome::Started;
    let is_unknown = |outcome: &StartOutcome| *outcome == StartOutcome::Unknown;
    let started = repeater.call(call, is_started, is_unknown).await;
    match started.result {
        StartOutcome::Started if started.has_open_copy => StartOutcome::StartedRepeated,
        outcome => outcome,
    }
}

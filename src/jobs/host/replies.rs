//! The requests for which the cell has not decided on an answer or has not made it durable.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;
use teaselgap_core::job::Token;
use tokio::sync::oneshot;

use super::super::ask::Reply;

/// The most requests that may be pending, as many as one write of the log can answer. Later ones
/// would wait for a second write.
const MAX_PENDING_REPLIES: usize = 1_000;

/// The channels for the answers to pending requests, by token.
#[derive(Debug, Default)]
pub(super) struct PendingReplies {
    channels: IndexMap<Token, oneshot::Sender<Reply>>,
    next_token: u64,
}

impl PendingReplies {
    pub(super) fn len(&self) -> usize {
        self.channels.len()
    }

    /// Adds a request; returns its channel if too many are pending.
    pub(super) fn insert(
        &mut self,
        reply: oneshot::Sender<Reply>,
    ) -> Result<Token, oneshot::Sender<Reply>> {
        if self.channels.len() >= MAX_PENDING_REPLIES {
            return Err(reply);
        }
        let token = Token(self.next_token);
        self.next_token += 1;
        self.channels.insert(token, reply);
        Ok(token)
    }

    /// Answers a request.
    pub(super) fn answer(&mut self, token: Token, answer: Reply) {
        if let Some(reply) = self.channels.swap_remove(&token) {
            // The caller may have stopped waiting.
            let _ = reply.send(answer);
        }
    }

    /// Drops all requests without an answer.
    pub(super) fn clear(&mut self) {
        self.channels.clear();
    }
}

//! The bytes that the node's calls take on its link, second by second.
//!
//! Bytes of answers count as they arrive, those of calls as they are sent. The answers to clients and the
//! calls between nodes aren't in them, nor what the operating system adds or sends again.

#[cfg(test)]
mod tests;

use std::{fmt::Write, rc::Rc, time::Duration};

use slog::info;
use teaselgap_platform::traffic::{ByteCount, Purpose};

use super::node::Node;

/// The interval between two lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the bytes of each second in which the node owns a cell to the log, until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let counts = node.lease.traffic().take_report();
        if !node.cell_owners.borrow().is_empty() {
            let LinkLoad { sent, received, sent_by, received_by } = link_load(&counts);
            info!(node.log, "link load"; "sent_bytes" => sent, "received_bytes" => received,
                "sent_by" => sent_by, "received_by" => received_by,
                "link_mbps" => node.settings.limits.link_mbps);
        }
    }
}

/// The load of the link in one second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct LinkLoad {
    /// Bytes sent.
    sent: u64,
    /// Bytes received.
    received: u64,
    /// Each purpose with its bytes sent, such as `holds 120 starts 800`.
    sent_by: String,
    /// Each purpose with its bytes received.
    received_by: String,
}

fn link_load(counts: &[(Purpose, ByteCount)]) -> LinkLoad {
    let by_purpose = |bytes_of: fn(&ByteCount) -> u64| {
        let mut text = String::new();
        for (purpose, count) in counts.iter().filter(|(_, count)| bytes_of(count) > 0) {
            let separator = if text.is_empty() { "" } else { " " };
            // Writing to a string can't fail.
            let _ = write!(text, "{separator}{} {}", purpose.name(), bytes_of(count));
        }
        text
    };
    LinkLoad {
        sent: counts.iter().map(|(_, count)| count.sent).sum(),
        received: counts.iter().map(|(_, count)| count.received).sum(),
        sent_by: by_purpose(|count| count.sent),
        received_by: by_purpose(|count| count.received),
    }
}

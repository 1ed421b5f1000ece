//! The decision logic of teaselgap, as pure functions of typed events and an explicit time.
//!
//! Nothing in this crate reads a clock, opens a socket, starts a thread or uses randomness other
//! than what its caller passes in. The same events, seeds and times give the same results, bit for
//! bit, so each module can be replayed, property-tested and model-checked on its own, and an
//! external test harness can drive it through a thin adapter.
//!
//! | module | concern |
//! |---|---|
//! | [`declare`] | what operators declare about one service, and the checks of one declaration |
//! | [`catalog`] | the accepted declarations, versioned by generation |
//! | [`membership`] | which nodes are alive (SWIM with incarnation numbers) |
//! | [`duty`] | which node owns which duty, and until when |
//! | [`slots`] | how a worker's slots are shared by all nodes without exceeding them |
//! | [`route`] | which VM gets a request |
//! | [`rtt`] | how long to wait for an answer |
//! | [`eject`] | which VMs get no requests for a while because theirs fail too often |
//! | [`admit`] | which waiting request is served next and which is refused on arrival |
//! | [`retry`] | whether a failed attempt may be retried |
//! | [`fleet`] | which pool a VM belongs to, and how it is stopped or moved |
//! | [`maintain`] | when VMs are stopped for maintenance |
//! | [`job`] | jobs of many tasks: their stored state, their dependencies and their placement |
//! | [`journal`] | the write-ahead journal that makes non-idempotent requests run at most once |
//!
//! # Examples
//!
//! ```
//! use teaselgap_core::{declare::parse, ServiceId};
//!
//! let text = br#"{"service": "previews", "pool": "shop", "capacity": {"normal": 8, "peak": 40}}"#;
//! let declaration = parse("previews.json", text).unwrap();
//! assert_eq!(declaration.service, "previews".parse::<ServiceId>().unwrap());
//! ```

pub mod admit;
pub mod catalog;
pub mod declare;
pub mod duty;
pub mod eject;
pub mod fleet;
mod id;
pub mod job;
pub mod journal;
pub mod maintain;
pub mod membership;
pub mod retry;
pub mod route;
pub mod rtt;
pub mod slots;
mod unit;

pub use crate::{
    id::{
        CustomerId, IdError, NodeId, PoolId, QueueId, RackId, RequestId, ServiceId, TeamId, VmId,
        ZoneId,
    },
    unit::{
        Availability, ByteSize, Epoch, Generation, Incarnation, Slots, Span, Timestamp, UnitError,
    },
};

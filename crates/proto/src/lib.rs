//! Wire messages of the platform's key-value service and of the calls between entry nodes.
//!
//! The modules hold generated code, which is committed so that a build needs no generator.
//! `tools/proto-gen` regenerates it from the `.proto` files in this crate's `proto` folder.

/// Key-value pairs and events of the key-value service (etcd v3 wire format).
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
#[path = "gen/mvccpb.rs"]
pub mod mvccpb;

/// Requests and responses of the key-value service (etcd v3 wire format).
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
#[path = "gen/etcdserverpb.rs"]
pub mod etcdserverpb;

/// RPC services and messages between entry nodes, except those for jobs and VMs.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
#[path = "gen/teaselgap.peer.rs"]
pub mod peer;

/// RPC services and messages between entry nodes for jobs and VMs.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
#[path = "gen/teaselgap.cell.rs"]
pub mod cell;

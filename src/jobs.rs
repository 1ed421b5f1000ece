//! Jobs on the users' platform: one node, put together.
//!
//! | module | job |
//! |---|---|
//! | `front` | requests of client accounts and of the balancer (traffic thread) |
//! | `ask` | what is asked of a cell, by client accounts here or through other nodes |
//! | `node` | what the parts of the control thread share |
//! | `session` | the node's lease, and which duties this node owns |
//! | `members` | the registered nodes and the owners of duties |
//! | `operator` | configuration and waves as the operator writes them |
//! | `host` | a cell that this node owns: its log, its orders, its workers |
//! | `roster` | the workers that the store lists |
//! | `fleet` | orders about machines, while this node holds that duty |
//! | `peer` | calls between nodes |
//! | `note` | decisions as log lines |
//!
//! The control thread runs everything but HTTP towards client accounts; it shares nothing with the
//! traffic thread but the routes, two flags and a channel of questions.

mod ask;
mod fleet;
mod front;
mod host;
mod members;
mod node;
mod note;
mod operator;
mod peer;
mod roster;
mod session;

pub(crate) use self::node::serve;

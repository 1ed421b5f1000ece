//! The node that runs jobs on the users' platform.
//!
//! | module | purpose |
//! |---|---|
//! | `front` | HTTP requests of client accounts and of the balancer (traffic thread) |
//! | `ask` | requests to a cell, answered at this node or forwarded to the cell's owner |
//! | `node` | startup, shutdown and the state that the control thread's parts share |
//! | `session` | the node's lease, and the duties that the node claims and owns |
//! | `members` | the registered nodes and the owners of duties |
//! | `operator` | the configuration and the maintenance waves that the operator writes |
//! | `host` | the owner of a cell: its term and its log (`requests`, `calls`, `replies`) |
//! | `owner_load` | what an owner has in flight, and how quickly it is answered |
//! | `link_load` | the bytes that a node's calls take on its link, by purpose |
//! | `repeat`, `start_order` | calls to the store and start orders, sent again while no answer comes |
//! | `roster` | the list of workers in the store |
//! | `fleet` | the owner of the fleet: orders about VMs |
//! | `peer` | calls between nodes |
//! | `instruction` | what the fleet's owner tells a cell, and the cell's report |
//! | `note`, `line_limit` | log events of a cell, and how many lines of a kind they may take |
//!
//! The control thread runs everything except HTTP for client accounts. It shares only the
//! configuration, the draining flag, the number of requests in flight, the metrics, the logger and
//! a channel of requests with the traffic thread.

mod ask;
mod duties;
mod fleet;
mod front;
mod host;
mod instruction;
mod lease;
mod line_limit;
mod link_load;
mod log_store;
mod members;
mod node;
mod note;
mod operator;
mod outage;
mod owner_load;
mod peer;
mod read_timeout;
mod repeat;
mod roster;
mod session;
mod start_order;
mod term_ends;
#[cfg(test)]
mod test_node;
#[cfg(test)]
mod test_server;

pub(crate) use self::{node::serve, owner_load::OwnerLoad};

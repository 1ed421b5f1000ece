//! teaselgap manages the capacity and the maintenance of shared fleets of VMs by declarations.
//!
//! The library contains the adapters around `teaselgap-core` and the commands of the binary. Its
//! only public item is [`run`], which the binary calls with its arguments.
//!
//! | module | purpose |
//! |---|---|
//! | `front` | HTTP server for callers |
//! | `backend` | HTTP client for backend servers |
//! | `traffic` | slots and queues that traffic threads share |
//! | `control` | the control thread: membership, duties, configuration, slots |
//! | `jobs` | jobs of many tasks on the users' platform |
//! | `journal` | the journal's thread: records of requests in the platform's store |
//! | `store` | client of the platform's key-value service |
//! | `vm_list` | client of the platform's list of VMs |
//! | `peer` | calls between nodes |
//! | `node` | start and shutdown of a node |
//! | `command` | the command line |

mod backend;
mod clock;
mod command;
mod control;
mod front;
mod jobs;
mod journal;
mod log;
mod metrics;
mod node;
mod peer;
mod settings;
mod store;
mod traffic;
mod vm_list;

pub use command::run;

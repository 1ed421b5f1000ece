//! Simulated surroundings of teaselgap, for tests, measurements and the demo.
//!
//! | module | simulates |
//! |---|---|
//! | [`store`] | the platform's key-value service (etcd v3 wire format), with fault injection |
//! | [`vm_list`] | the platform's list of VMs |
//! | [`worker`] | backend servers that count the requests they ran |
//! | [`proxy`] | a network connection between two processes, with fault injection |
//! | [`cluster`] | a cluster of real node processes that uses the modules above |
//! | [`model`] | workers and the store's log in virtual time, for one cell of jobs |
//! | [`caller`] | callers that record the result of each request |
//!
//! None of this crate is linked into the binary that entry VMs run in production.

pub mod caller;
pub mod cluster;
pub mod http;
pub mod model;
pub mod proxy;
pub mod store;
pub mod vm_list;
pub mod worker;

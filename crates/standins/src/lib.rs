//! Small stand-ins for what surrounds teaselgap, for tests, measurements and the demo.
//!
//! | module | stands in for |
//! |---|---|
//! | [`store`] | the platform's key-value service (etcd v3 wire format), with faults |
//! | [`vm_list`] | the platform's list of VMs |
//! | [`worker`] | backend servers, which count what they ran |
//! | [`proxy`] | the network between any two, with faults |
//! | [`cluster`] | a whole system of real node processes around the others |
//! | [`model`] | workers and the store's log in virtual time, for one cell of jobs |
//! | [`caller`] | callers that count what they were told |
//!
//! Nothing here is linked into what an entry VM runs in production.

pub mod caller;
pub mod cluster;
pub mod http;
pub mod model;
pub mod proxy;
pub mod store;
pub mod vm_list;
pub mod worker;

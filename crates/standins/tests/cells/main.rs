//! Tests of cells in virtual time, against simulated workers that follow the platform's rules.

mod admission;
mod advice;
mod availability;
mod budget;
mod cost;
mod crashes;
mod every_call;
mod faults;
mod fixtures;
mod flow;
mod given_up;
mod instances;
mod late_copies;
mod late_holds;
mod log;
mod long_running;
mod may_end;
mod outranked;
mod owners;
mod random;
mod restarts;
mod store_outage;
mod stray_leases;
mod takeover;
mod turns;
mod waits;

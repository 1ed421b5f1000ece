//! Tests of cells in virtual time, against simulated workers that follow the platform's rules.

mod admission;
mod advice;
mod faults;
mod fixtures;
mod random;
mod store_outage;
mod turns;

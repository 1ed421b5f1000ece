//! Tests of cells in virtual time, against simulated workers that follow the platform's rules.

mod advice;
mod availability;
mod faults;
mod fixtures;
mod long_running;
mod random;
mod takeover;
mod turns;

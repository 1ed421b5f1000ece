//! Tests of cells in virtual time, against simulated workers that follow the platform's rules.

mod advice;
mod faults;
mod fixtures;
mod flow;
mod random;
mod turns;

//! Cells of jobs, played in virtual time against workers that keep the platform's rules.

mod advice;
mod faults;
mod fixtures;
mod random;
mod turns;

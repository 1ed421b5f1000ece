//! Tests of the owner of the fleet in virtual time, over drawn histories of the platform's VM API, of the VMs, of the
//! cells and of the owners. A judge that knows only what the platform did decides.

mod cell;
mod draw;
mod history;
mod judge;
mod orders;
mod owner;
mod platform;
mod play;
mod property;

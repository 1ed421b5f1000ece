//! The review's HTTP, with servers of workers that show the clocks of their lives.

#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/http.rs"]
mod base;

use std::{
    io,
    net::SocketAddr,
    ops::{Deref, DerefMut},
};

pub use base::{Handler, Reply, Request, call};

use crate::{clock::Clock, variant::Variant};

pub struct Server(base::Server);

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        base::Server::start(address, Clock::of_server(Variant::of_server(handler))).map(Self)
    }
}

impl Deref for Server {
    type Target = base::Server;

    fn deref(&self) -> &base::Server {
        &self.0
    }
}

impl DerefMut for Server {
    fn deref_mut(&mut self) -> &mut base::Server {
        &mut self.0
    }
}

//! Free ports below the range from which the system takes the ports of outgoing connections, so that
//! a port that was found free stays free until its server listens.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering::SeqCst},
};

const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address with a free port, another one on each call.
pub fn take() -> Option<SocketAddr> {
    // Cases that run at the same time begin at different ports.
    let offset = std::process::id().wrapping_mul(97);
    for _ in 0..PORTS {
        let number = offset.wrapping_add(TAKEN.fetch_add(1, SeqCst)) % PORTS;
        let port = u16::try_from(FIRST_PORT + number).ok()?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Some(address);
        }
    }
    None
}

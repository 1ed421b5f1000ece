//! A TCP proxy that stands between any two and spoils what passes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// What happens to bytes that pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Added to each piece, in both directions.
    pub delay: Duration,
    /// Bytes from the client are swallowed.
    pub drop_requests: bool,
    /// Bytes from the server are swallowed.
    pub drop_answers: bool,
    /// Connections are cut after this many bytes from the server.
    pub cut_after: Option<usize>,
    /// New connections are closed at once.
    pub refuse: bool,
    /// Grows by one to cut every connection that is open.
    pub cuts: u64,
}

/// A running proxy.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where clients connect.
    pub address: SocketAddr,
    faults: Arc<watch::Sender<Faults>>,
    target: Arc<watch::Sender<Option<SocketAddr>>>,
    passed: Arc<AtomicU64>,
    task: Arc<JoinHandle<()>>,
}

impl Handle {
    /// Changes the faults from now on.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
    }

    /// Bytes that passed so far, in both directions.
    #[must_use]
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// From now on new connections go to this address.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Passes everything again.
    pub fn clear_faults(&self) {
        self.set(|faults| *faults = Faults { cuts: faults.cuts, ..Faults::default() });
    }

    /// Swallows everything in both directions, while connections stay open.
    pub fn black_hole(&self) {
        self.set(|faults| {
            faults.drop_requests = true;
            faults.drop_answers = true;
        });
    }

    /// Cuts every open connection.
    pub fn cut_connections(&self) {
        self.set(|faults| faults.cuts += 1);
    }

    /// Stops the proxy.
    pub fn stop(&self) {
        self.task.abort();
    }
}

/// Starts a proxy on a loopback port; without a target it closes new connections at once.
///
/// # Errors
///
/// If no port can be opened.
pub async fn start(address: SocketAddr, target: Option<SocketAddr>) -> std::io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let faults = Arc::new(watch::Sender::new(Faults::default()));
    let seen = Arc::clone(&faults);
    let target = Arc::new(watch::Sender::new(target));
    let aim = Arc::clone(&target);
    let passed = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&passed);
    let task = tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let target = *aim.borrow();
            if let Some(target) = target.filter(|_| !seen.borrow().refuse) {
                tokio::spawn(pass(client, target, seen.subscribe(), Arc::clone(&count)));
            }
        }
    });
    Ok(Handle { address, faults, target, passed, task: Arc::new(task) })
}

async fn pass(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<Faults>,
    count: Arc<AtomicU64>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut cut = faults.clone();
    let cuts = cut.borrow().cuts;
    tokio::select! {
        () = copy(client_read, server_write, faults.clone(), Direction::Request, &count) => {}
        () = copy(server_read, client_write, faults, Direction::Answer, &count) => {}
        _ = cut.wait_for(|faults| faults.cuts != cuts) => {}
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Answer,
}

const PIECE: usize = 16 * 1024;

/// Copies until either side ends; an end in one direction ends the connection.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: watch::Receiver<Faults>,
    direction: Direction,
    count: &AtomicU64,
) {
    let mut buf = vec![0; PIECE];
    let mut passed = 0;
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 {
            return;
        }
        let now = faults.borrow().clone();
        if !now.delay.is_zero() {
            tokio::time::sleep(now.delay).await;
        }
        let swallow = match direction {
            Direction::Request => now.drop_requests,
            Direction::Answer => now.drop_answers,
        };
        if swallow {
            continue;
        }
        let room = match (direction, now.cut_after) {
            (Direction::Answer, Some(limit)) => limit.saturating_sub(passed).min(n),
            _ => n,
        };
        if to.write_all(&buf[..room]).await.is_err() || room < n {
            return;
        }
        passed += n;
        count.fetch_add(n as u64, Ordering::Relaxed);
    }
}

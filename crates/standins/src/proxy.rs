//! A TCP proxy between two processes that injects network faults.

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

/// The faults that the proxy injects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Delay of each chunk, in both directions.
    pub delay: Duration,
    /// Whether to discard all bytes from the client.
    pub drop_requests: bool,
    /// Whether to discard all bytes from the server.
    pub drop_answers: bool,
    /// Closes a connection after it forwarded this many bytes from the server.
    pub cut_after: Option<usize>,
    /// Whether to close new connections at once.
    pub refuse: bool,
    /// Number of times that all open connections were closed; an increment closes them again.
    pub cuts: u64,
}

/// Controls a running proxy.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    faults: Arc<watch::Sender<Faults>>,
    target: Arc<watch::Sender<Option<SocketAddr>>>,
    bytes_forwarded: Arc<AtomicU64>,
    task: Arc<JoinHandle<()>>,
}

impl Handle {
    /// Changes the faults of open and new connections.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
    }

    /// Number of bytes forwarded so far, in both directions.
    #[must_use]
    pub fn bytes_forwarded(&self) -> u64 {
        self.bytes_forwarded.load(Ordering::Relaxed)
    }

    /// Forwards new connections to this address.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Ends all faults; closed connections stay closed.
    pub fn clear_faults(&self) {
        self.set(|faults| *faults = Faults { cuts: faults.cuts, ..Faults::default() });
    }

    /// Discards all bytes in both directions and keeps connections open.
    pub fn black_hole(&self) {
        self.set(|faults| {
            faults.drop_requests = true;
            faults.drop_answers = true;
        });
    }

    /// Closes all open connections.
    pub fn cut_connections(&self) {
        self.set(|faults| faults.cuts += 1);
    }

    /// Stops accepting connections; open ones stay open.
    pub fn stop(&self) {
        self.task.abort();
    }
}

/// Starts a proxy that listens on `address`. Without a target it closes new connections at once.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(address: SocketAddr, target: Option<SocketAddr>) -> std::io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let faults = Arc::new(watch::Sender::new(Faults::default()));
    let current_faults = Arc::clone(&faults);
    let target = Arc::new(watch::Sender::new(target));
    let current_target = Arc::clone(&target);
    let bytes_forwarded = Arc::new(AtomicU64::new(0));
    let total = Arc::clone(&bytes_forwarded);
    let task = tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let target = *current_target.borrow();
            if let Some(target) = target.filter(|_| !current_faults.borrow().refuse) {
                tokio::spawn(forward_connection(
                    client,
                    target,
                    current_faults.subscribe(),
                    Arc::clone(&total),
                ));
            }
        }
    });
    Ok(Handle { address, faults, target, bytes_forwarded, task: Arc::new(task) })
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<Faults>,
    total: Arc<AtomicU64>,
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
        () = forward(client_read, server_write, faults.clone(), Direction::Request, &total) => {}
        () = forward(server_read, client_write, faults, Direction::Answer, &total) => {}
        _ = cut.wait_for(|faults| faults.cuts != cuts) => {}
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Answer,
}

/// Largest chunk that is read and forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Forwards bytes in one direction until either side closes. The other direction ends with it.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: watch::Receiver<Faults>,
    direction: Direction,
    total: &AtomicU64,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    let mut bytes_forwarded = 0;
    while let Ok(n) = from.read(&mut buf).await {
        if n == 0 {
            return;
        }
        let current = faults.borrow().clone();
        if !current.delay.is_zero() {
            tokio::time::sleep(current.delay).await;
        }
        let discard = match direction {
            Direction::Request => current.drop_requests,
            Direction::Answer => current.drop_answers,
        };
        if discard {
            continue;
        }
        let allowed = match (direction, current.cut_after) {
            (Direction::Answer, Some(limit)) => limit.saturating_sub(bytes_forwarded).min(n),
            _ => n,
        };
        if to.write_all(&buf[..allowed]).await.is_err() || allowed < n {
            return;
        }
        bytes_forwarded += n;
        total.fetch_add(n as u64, Ordering::Relaxed);
    }
}

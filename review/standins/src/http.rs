//! A minimal HTTP/1.1 server and client on loopback.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// What a handler does with a request.
pub enum Reply {
    Answer(u16, String),
    /// The connection is closed without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// A server that can be stopped abruptly, as by a crash of its process.
pub struct Server {
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    pub address: SocketAddr,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (stop, open) = (Arc::clone(&is_stopped), Arc::clone(&streams));
        let acceptor = thread::spawn(move || {
            while !stop.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, stop) = (Arc::clone(&handler), Arc::clone(&stop));
                thread::spawn(move || {
                    let _ = serve(stream, &handler, &stop);
                });
            }
        });
        Ok(Server { is_stopped, streams, address, acceptor: Some(acceptor) })
    }

    /// Stops listening and breaks all connections.
    pub fn stop(&mut self) {
        self.is_stopped.store(true, SeqCst);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, stop: &AtomicBool) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let reply = handler(request);
        if stop.load(SeqCst) {
            break;
        }
        let Reply::Answer(status, body) = reply else { break };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    let _ = writer.shutdown(Shutdown::Both);
    Ok(())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((key, value)) = line.trim_end().split_once(':') else { break };
        headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some((first, headers)))
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_headers(reader)? else { return Ok(None) };
    let target = first.split_whitespace().nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), decode_percent(value))).collect();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { path: path.to_owned(), query, headers, body }))
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a connection of its own; `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    (method, path, host): (&str, &str, &str),
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let patience = timeout.as_millis();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Teaselgap-Deadline-Ms: {patience}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_headers(&mut reader).ok()??;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers).ok()?))
}

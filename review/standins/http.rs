//! A small HTTP/1.1 client and server over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A request as the server has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// The value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: Vec<u8>,
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Sends one request on a connection of its own. The error says that the connection could
/// not be opened, was broken off, or gave no answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "Content-Type: application/json\r\n\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut status_line = String::new();
    if reader.read_line(&mut status_line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let status = status_line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(std::io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body)?;
    let location = headers.into_iter().find(|(name, _)| name == "location");
    Ok(Response { status, location: location.map(|(_, value)| value), body })
}

/// A server that can be ended like a process that dies.
#[derive(Clone, Default)]
pub struct Server {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    ended: bool,
    streams: Vec<TcpStream>,
}

/// Interval at which the server looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

impl Server {
    /// Serves requests with a thread for each connection until the server is ended.
    pub fn serve(
        &self,
        listener: TcpListener,
        handle: impl Fn(Request) -> (u16, String) + Send + Sync + 'static,
    ) {
        let handle = Arc::new(handle);
        let server = self.clone();
        listener.set_nonblocking(true).expect("the listener can be polled");
        std::thread::spawn(move || {
            while !server.lock().ended {
                let Ok((stream, _peer)) = listener.accept() else {
                    std::thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let (Ok(()), Ok(clone)) = (stream.set_nonblocking(false), stream.try_clone())
                else {
                    continue;
                };
                server.lock().streams.push(clone);
                let handle = Arc::clone(&handle);
                std::thread::spawn(move || {
                    // The error only says how the peer left.
                    let _ended = serve_connection(stream, handle.as_ref());
                });
            }
        });
    }

    /// Ends the server: its connections are closed, and new ones are refused.
    pub fn end(&self) {
        let mut shared = self.lock();
        shared.ended = true;
        for stream in shared.streams.drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn serve_connection(
    stream: TcpStream,
    handle: &impl Fn(Request) -> (u16, String),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let headers = read_headers(&mut reader)?;
        let mut body = vec![0; content_length(&headers)];
        reader.read_exact(&mut body)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let (status, reply) = handle(Request { method, path, headers, body });
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            reply.len()
        );
        writer.write_all(&[head.as_bytes(), reply.as_bytes()].concat())?;
    }
}

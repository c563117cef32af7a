//! HTTP/1.1 over blocking sockets, for stand-ins that break connections at a chosen byte: a
//! connection that its caller can reset, and a server that ends like a process that dies.
//!
//! Invariant: no thread polls; each one waits in a read, an accept or a sleep.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpSocket;

/// A request as the server has read it.
pub struct RawRequest {
    /// The method, in capitals.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A complete response.
#[derive(Debug)]
pub struct RawResponse {
    /// The status code.
    pub status: u16,
    /// The `Location` header, where there is one.
    pub location: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The bytes of a request with a body; `headers` come beside the length.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "Content-Type: application/json\r\n\r\n";
    [head.as_bytes(), body].concat()
}

fn read_headers(reader: &mut impl BufRead) -> Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
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

fn header(headers: &[(String, String)], name: &str) -> Option<String> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.clone())
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Result<Vec<u8>> {
    let length = header(headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// An open connection of a caller, for one request after another.
pub struct RawConnection {
    reader: BufReader<TcpStream>,
}

impl RawConnection {
    /// Opens a connection; reads on it fail after `timeout` without a byte.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<RawConnection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(RawConnection { reader: BufReader::new(stream) })
    }

    /// Changes how long a read waits.
    pub fn set_timeout(&self, timeout: Duration) -> Result<()> {
        self.reader.get_ref().set_read_timeout(Some(timeout))
    }

    /// Writes these bytes of a request.
    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the next response.
    pub fn read_response(&mut self) -> Result<RawResponse> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(Error::from(ErrorKind::InvalidData))?;
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers)?;
        Ok(RawResponse { status, location: header(&headers, "location"), body })
    }

    /// Closes the connection with a reset.
    pub fn reset(self) -> Result<()> {
        TcpSocket::from_std_stream(self.reader.into_inner()).set_zero_linger()
    }
}

/// Sends one request on a connection of its own.
pub fn raw_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<RawResponse> {
    let mut connection = RawConnection::open(address, timeout)?;
    connection.write(&request_bytes(method, path, headers, body))?;
    connection.read_response()
}

/// What becomes of a request that a server has read.
pub enum RawReply {
    /// A response with this status and body.
    Answer(u16, String),
    /// No response; the connection is closed after this time.
    Silence(Duration),
}

#[derive(Default)]
struct Shared {
    ended: bool,
    streams: Vec<TcpStream>,
}

/// A server with a thread for each connection; clones share it.
#[derive(Clone, Default)]
pub struct RawServer {
    shared: Arc<Mutex<Shared>>,
}

impl RawServer {
    /// Serves requests until the server is ended.
    pub fn serve(
        &self,
        listener: TcpListener,
        handle: impl Fn(RawRequest) -> RawReply + Send + Sync + 'static,
    ) {
        let (server, handle) = (self.clone(), Arc::new(handle));
        std::thread::spawn(move || {
            while let Ok((stream, _peer)) = listener.accept() {
                let Ok(clone) = stream.try_clone() else { continue };
                let mut shared = server.lock();
                if shared.ended {
                    return;
                }
                shared.streams.push(clone);
                let handle = Arc::clone(&handle);
                std::thread::spawn(move || {
                    // The error only says how the peer left.
                    let _left = serve_connection(&stream, handle.as_ref());
                    let _closed = stream.shutdown(Shutdown::Both);
                });
            }
        });
    }

    /// Closes all connections; the thread that accepts ends with the next one to `address`,
    /// which is made here.
    pub fn end(&self, address: SocketAddr) {
        let mut shared = self.lock();
        shared.ended = true;
        for stream in shared.streams.drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
        drop(shared);
        let _woken = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn serve_connection(stream: &TcpStream, handle: &impl Fn(RawRequest) -> RawReply) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace().map(str::to_owned);
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let (status, reply) = match handle(RawRequest { method, path, headers, body }) {
            RawReply::Answer(status, reply) => (status, reply),
            RawReply::Silence(time) => {
                std::thread::sleep(time);
                return Ok(());
            }
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            reply.len()
        );
        writer.write_all(&[head.as_bytes(), reply.as_bytes()].concat())?;
    }
}

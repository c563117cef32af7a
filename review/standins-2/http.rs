//! HTTP/1.1 over blocking sockets: one call on a connection of its own, and a server with one
//! thread a connection.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Largest body that is read.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A request as a server reads it. Names of headers are in lower case.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// A response, as a client reads it or a server sends it.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: String) -> Response {
        Response { status, location: None, body }
    }
}

fn invalid(text: &str) -> Error {
    Error::new(ErrorKind::InvalidData, text.to_owned())
}

/// Reads header lines up to the empty one.
fn read_headers(reader: &mut impl BufRead) -> Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the connection ended within the headers"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("odd header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Result<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, value)| value);
    let length = find("content-length").and_then(|value| value.parse::<usize>().ok());
    let mut body = vec![0; length.unwrap_or(0).min(MAX_BODY_BYTES)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Makes one call on a new connection. `host` is the header of that name.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(invalid("the connection ended before the response"));
    }
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| invalid("odd status line"))?;
    let headers = read_headers(&mut reader)?;
    let body = String::from_utf8_lossy(&read_body(&mut reader, &headers)?).into_owned();
    let location = headers.iter().find(|(key, _)| key == "location");
    Ok(Response { status, location: location.map(|(_, value)| value.clone()), body })
}

/// Answers requests on a listener until the process ends; `None` closes the connection without
/// a response.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                let _ended = serve_connection(stream, &*answer);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    answer: &(impl Fn(Request) -> Option<Response> + ?Sized),
) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let Some(response) = answer(Request { method, path, headers, body }) else {
            return Ok(());
        };
        let text = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        writer.write_all(text.as_bytes())?;
    }
}

/// Reads what is left, so that a peer's close is seen.
pub fn drain(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while matches!(stream.read(&mut buffer), Ok(read) if read > 0) {}
}

//! Serves HTTP on a listener within the limits of connections and bytes of its process.
//!
//! A handler gets the head of a request first and decides whether its body is read, and how
//! long it may be. Which connections are closed is decided by [`ConnectionTable`].
//!
//! Invariants:
//! - a body is read only when its handler asks for it, and an announced length above the
//!   handler's limit is refused before anything of it is read;
//! - bytes of a request are held only while the table has granted them;
//! - a connection is served until its reply is written or the table closes it.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use decisions::connections::ConnectionId;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use model::CloseCause;
use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use warp::http::header::{CONNECTION, HeaderValue};
use warp::http::request::Parts;
use warp::reply::Response;

pub use crate::listener_state::ListenerSettings;
use crate::listener_state::{ConnectionGuard, ListenerState, lock};
use crate::peer_connection::accept;

/// Largest head of a request, in bytes, unless the configuration sets another.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Highest value that the configuration can set: the read buffer is part of the memory that a
/// connection is counted with.
pub const HIGHEST_HEADER_BYTES: u64 = 24 * 1024;
/// Least size of the buffer that the HTTP library reads into.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Size of each of the two socket buffers of a connection. The system would let them grow to
/// megabytes for a client that doesn't read, or that sends while its request is served.
const SOCKET_BUFFER_BYTES: usize = 32 * 1024;
/// Interval at which overdue connections are closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// First capacity of the buffer for a body; it doubles up to what is announced.
const FIRST_BODY_BYTES: usize = 4 * 1024;
/// Body that is read and dropped where nothing needs it, so that its connection stays usable.
const DROPPED_BODY_BYTES: u64 = 4 * 1024;
/// Size of the reads that drop what arrives after a refusal.
const LINGER_READ_BYTES: usize = 4 * 1024;

/// Limits that the configuration sets; `None` where it sets none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfiguredLimits {
    /// Time in which the head of a request has to arrive.
    pub header_timeout: Option<Duration>,
    /// Time for which a connection without a request is kept.
    pub idle_timeout: Option<Duration>,
    /// Largest head of a request, in bytes.
    pub max_header_bytes: Option<u64>,
}

/// A listener's state; clones share it.
#[derive(Clone)]
pub struct HttpServer {
    shared: Arc<ListenerState>,
    max_header_bytes: Arc<AtomicUsize>,
}

/// A request whose body has not been read.
pub struct HttpRequest {
    /// Method, address and header fields.
    pub parts: Parts,
    /// The body.
    pub body: RequestBody,
}

/// The body of a request, read on demand.
pub struct RequestBody {
    /// Taken by whoever reads it.
    incoming: Arc<Mutex<Option<Incoming>>>,
    connection: RequestHold,
}

/// Bytes that the listener holds for a request until its reply is built.
#[derive(Clone)]
pub struct RequestHold {
    shared: Arc<ListenerState>,
    id: ConnectionId,
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It is longer than the limit.
    TooLong,
    /// The listener holds as many bytes as it may.
    NoRoom,
    /// The client left, or the body is malformed.
    Incomplete,
}

impl HttpServer {
    /// Creates the state of a listener without connections.
    pub fn new(listener: ListenerSettings) -> HttpServer {
        let max_header_bytes = Arc::new(AtomicUsize::new(MAX_HEADER_BYTES));
        HttpServer { shared: Arc::new(ListenerState::new(listener)), max_header_bytes }
    }

    /// Applies the limits of the configuration. The one on header bytes holds for new
    /// connections.
    pub fn configure(&self, limits: ConfiguredLimits) {
        let defaults = &self.shared.defaults;
        let header = limits.header_timeout.unwrap_or(defaults.header_timeout);
        let idle = limits.idle_timeout.unwrap_or(defaults.idle_timeout);
        self.shared.table().set_timeouts(header, idle);
        let bytes = limits.max_header_bytes.unwrap_or(MAX_HEADER_BYTES as u64);
        let bytes = bytes.min(HIGHEST_HEADER_BYTES) as usize;
        self.max_header_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Accepts connections until `stop` is raised or its sender is dropped, then completes
    /// the requests that are open. Runs on a runtime of [`crate::block_on`].
    ///
    /// # Panics
    /// If the listener is unusable, for example not in non-blocking mode.
    pub async fn serve<H, F>(
        self,
        listener: std::net::TcpListener,
        handler: H,
        stop: watch::Receiver<bool>,
    ) where
        H: Fn(HttpRequest) -> F + Clone + 'static,
        F: Future<Output = Response> + 'static,
    {
        // Accepted connections have the sizes of the listener. If they can't be set, the
        // connections work all the same.
        let _set = sockopt::set_socket_recv_buffer_size(&listener, SOCKET_BUFFER_BYTES);
        let _set = sockopt::set_socket_send_buffer_size(&listener, SOCKET_BUFFER_BYTES);
        let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
        let (open_sender, mut open) = mpsc::channel::<Infallible>(1);
        let mut stopped = stop.clone();
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                stream = accept(&listener) => {
                    let open_sender = open_sender.clone();
                    self.serve_stream(stream, handler.clone(), stop.clone(), open_sender);
                }
                _ = checks.tick() => self.shared.check(),
                () = await_stop(&mut stopped) => break,
            }
        }
        drop((listener, open_sender));
        loop {
            tokio::select! {
                _none = open.recv() => return,
                _ = checks.tick() => self.shared.check(),
            }
        }
    }

    /// Serves a connection in a task of its own, unless it is refused.
    fn serve_stream<H, F>(
        &self,
        stream: TcpStream,
        handler: H,
        stop: watch::Receiver<bool>,
        open_sender: mpsc::Sender<Infallible>,
    ) where
        H: Fn(HttpRequest) -> F + 'static,
        F: Future<Output = Response> + 'static,
    {
        let Some(guard) = self.shared.admit() else { return };
        let max_header_bytes = self.max_header_bytes.load(Ordering::Relaxed);
        tokio::task::spawn_local(async move {
            let _open = open_sender;
            serve_connection(guard, max_header_bytes, stream, handler, stop).await;
        });
    }
}

/// Waits until a server has to stop.
async fn await_stop(stop: &mut watch::Receiver<bool>) {
    let _closed = stop.wait_for(|is_raised| *is_raised).await;
}

/// Serves the requests of a connection, one after the other.
async fn serve_connection<H, F>(
    guard: ConnectionGuard,
    max_header_bytes: usize,
    stream: TcpStream,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(HttpRequest) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let (shared, id) = (Arc::clone(guard.state()), guard.id);
    let lingers = Arc::new(AtomicBool::new(false));
    let stream = CountedStream {
        stream,
        shared: Arc::clone(&shared),
        id,
        lingers: Arc::clone(&lingers),
        linger_end: None,
    };
    let service = service_fn(move |request| {
        let reply = serve_request(&shared, id, &handler, &lingers, request);
        Box::pin(async move { Ok::<_, Infallible>(reply.await) })
    });
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_header_size(max_header_bytes)
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            () = guard.closed() => return,
            // The error only says how the client left.
            _ended = &mut connection => return,
            () = await_stop(&mut stop), if !is_stopping => {
                is_stopping = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
}

fn serve_request<H, F>(
    shared: &Arc<ListenerState>,
    id: ConnectionId,
    handler: &H,
    lingers: &Arc<AtomicBool>,
    request: hyper::Request<Incoming>,
) -> impl Future<Output = Response> + use<H, F>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = Response>,
{
    shared.table().on_request(shared.now(), id);
    lingers.store(false, Ordering::Relaxed);
    let (parts, incoming) = request.into_parts();
    let has_body = !incoming.is_end_stream();
    let incoming = Arc::new(Mutex::new(has_body.then_some(incoming)));
    let hold = RequestHold { shared: Arc::clone(shared), id };
    let body = RequestBody { incoming: Arc::clone(&incoming), connection: hold.clone() };
    let reply = handler(HttpRequest { parts, body });
    let lingers = Arc::clone(lingers);
    async move {
        let mut response = reply.await;
        let unread = lock(&incoming).take();
        let is_short =
            |body: &Incoming| body.size_hint().exact().is_some_and(|n| n <= DROPPED_BODY_BYTES);
        let is_unread = match unread {
            Some(unread) if is_short(&unread) => hold.drop_body(unread).await.is_err(),
            Some(_) => true,
            None => hold.was_refused(&response),
        };
        if is_unread {
            lingers.store(true, Ordering::Relaxed);
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let mut table = hold.shared.table();
        table.release(id);
        table.on_reply(hold.shared.now(), id);
        drop(table);
        response
    }
}

impl RequestHold {
    /// Holds more bytes for the request; `false` if the listener holds as many as it may.
    pub fn reserve(&self, bytes: u64) -> bool {
        self.shared.reserve(self.id, bytes)
    }

    /// Most bytes that the listener ever holds.
    pub fn max_bytes(&self) -> u64 {
        self.shared.table().limits().max_held_bytes
    }

    /// Whether a body was given up halfway: the rest of it still arrives.
    fn was_refused(&self, response: &Response) -> bool {
        response.extensions().get::<UnreadBody>().is_some()
    }

    /// Reads a short body and drops it.
    async fn drop_body(&self, mut body: Incoming) -> Result<(), BodyRefusal> {
        self.shared.table().on_body_start(self.shared.now(), self.id);
        while let Some(frame) = body.frame().await {
            frame.map_err(|_| BodyRefusal::Incomplete)?;
        }
        self.shared.table().on_body_end(self.shared.now(), self.id);
        Ok(())
    }
}

/// Marks a response to a request whose body was given up halfway.
#[derive(Clone, Copy)]
struct UnreadBody;

impl BodyRefusal {
    /// Marks the response to the request: its connection ends with it.
    #[must_use]
    pub fn mark(self, mut response: Response) -> Response {
        response.extensions_mut().insert(UnreadBody);
        response
    }
}

impl RequestBody {
    /// The bytes that are held for the request.
    pub fn hold(&self) -> RequestHold {
        self.connection.clone()
    }

    /// Reads the body.
    ///
    /// # Errors
    /// It is longer than `limit`, there is no room for it, or it ends early. The response
    /// has to be marked by [`BodyRefusal::mark`].
    pub async fn read(self, limit: u64) -> Result<Vec<u8>, BodyRefusal> {
        let Some(mut incoming) = lock(&self.incoming).take() else { return Ok(Vec::new()) };
        let shared = &self.connection.shared;
        let announced = incoming.size_hint().exact();
        if announced.is_some_and(|announced| announced > limit) {
            shared.table().count(CloseCause::LongBody);
            return Err(BodyRefusal::TooLong);
        }
        shared.table().on_body_start(shared.now(), self.connection.id);
        let max_capacity = announced.unwrap_or(limit) as usize;
        let mut bytes = Vec::new();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| BodyRefusal::Incomplete)?;
            // Trailers are dropped.
            let Ok(data) = frame.into_data() else { continue };
            self.append(&mut bytes, &data, limit, max_capacity)?;
        }
        shared.table().on_body_end(shared.now(), self.connection.id);
        Ok(bytes)
    }

    /// Copies a piece of a body: the piece itself may keep a much larger buffer in memory.
    fn append(
        &self,
        bytes: &mut Vec<u8>,
        data: &Bytes,
        limit: u64,
        max_capacity: usize,
    ) -> Result<(), BodyRefusal> {
        let length = bytes.len() + data.len();
        if length as u64 > limit {
            self.connection.shared.table().count(CloseCause::LongBody);
            return Err(BodyRefusal::TooLong);
        }
        if length > bytes.capacity() {
            let doubled = (2 * bytes.capacity()).max(FIRST_BODY_BYTES);
            let capacity = doubled.min(max_capacity).max(length);
            if !self.connection.reserve((capacity - bytes.capacity()) as u64) {
                return Err(BodyRefusal::NoRoom);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(data);
        Ok(())
    }
}

/// A client's stream that reports what it reads and writes to the table.
struct CountedStream {
    stream: TcpStream,
    shared: Arc<ListenerState>,
    id: ConnectionId,
    /// Whether what still arrives is read before the connection is closed: closing it at
    /// once would reset it, and the client might never see the reply.
    lingers: Arc<AtomicBool>,
    linger_end: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.shared.table().on_bytes(self.shared.now(), self.id, bytes as u64);
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    // Called once everything buffered has been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shared.table().on_flushed(self.shared.now(), self.id);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_end.is_none() {
            if let Poll::Ready(Err(error)) = Pin::new(&mut self.stream).poll_shutdown(context) {
                return Poll::Ready(Err(error));
            }
            if !self.lingers.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
            let now = self.shared.now();
            let mut table = self.shared.table();
            table.on_linger(now, self.id);
            let timeout = table.limits().linger_timeout;
            drop(table);
            self.linger_end = Some(Box::pin(tokio::time::sleep(timeout)));
        }
        self.poll_linger(context)
    }
}

impl CountedStream {
    /// Drops what still arrives, until the client has closed the connection or the time for
    /// that is over.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let is_over =
            self.linger_end.as_mut().is_none_or(|end| end.as_mut().poll(context).is_ready());
        if is_over {
            return Poll::Ready(Ok(()));
        }
        let mut space = [0; LINGER_READ_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut space);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_ended) => return Poll::Ready(Ok(())),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

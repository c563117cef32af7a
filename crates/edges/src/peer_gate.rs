//! Limits the connections to a listener for other processes until each has shown that it is
//! one, by a first message that was read in full and is valid.
//!
//! Invariants:
//! - a connection that is known counts no more among those that give way to others;
//! - bytes of a message are read only while the table has granted them, before the
//!   connection is known.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use decisions::connections::max_known_peers;
use jsonrpsee::core::middleware::{Batch, Notification};
use jsonrpsee::server::MethodResponse;
use jsonrpsee::server::middleware::rpc::RpcServiceT;
use jsonrpsee::types::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::frame_scan::FrameScan;
use crate::listener_state::{ConnectionGuard, ListenerSettings, ListenerState, lock};

/// Interval at which overdue connections are closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The connections of a listener that are not known yet, and the number of those that are.
#[derive(Clone)]
pub(crate) struct PeerGate {
    state: Arc<ListenerState>,
    known: Arc<AtomicUsize>,
    max_known: usize,
}

/// A connection from its acceptance on.
pub(crate) struct PeerTicket {
    /// Its place among those that are not known; `None` once it is known.
    guard: Mutex<Option<ConnectionGuard>>,
    is_known: AtomicBool,
    gate: PeerGate,
}

impl PeerGate {
    /// Creates the gate of a listener without connections.
    pub(crate) fn new(settings: ListenerSettings) -> PeerGate {
        let max_known = max_known_peers(settings.process);
        let state = Arc::new(ListenerState::new(settings));
        PeerGate { state, known: Arc::default(), max_known }
    }

    /// Decides on a new connection; `None` if it is refused.
    pub(crate) fn admit(&self) -> Option<Arc<PeerTicket>> {
        let guard = Mutex::new(Some(self.state.admit()?));
        let is_known = AtomicBool::new(false);
        Some(Arc::new(PeerTicket { guard, is_known, gate: self.clone() }))
    }

    /// Closes overdue connections until the task is dropped.
    pub(crate) async fn run_checks(self) {
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            checks.tick().await;
            self.state.check();
        }
    }
}

impl PeerTicket {
    /// Waits until the connection has to be closed; forever once it is known.
    pub(crate) async fn closed(&self) {
        let closer = lock(&self.guard).as_ref().map(ConnectionGuard::closer);
        match closer {
            Some(closer) => closer.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Counts bytes that have arrived, and the memory that they take; `false` if there is no
    /// room for it.
    pub(crate) fn on_bytes(&self, bytes: usize, memory: u64) -> bool {
        let id = lock(&self.guard).as_ref().map(|guard| guard.id);
        id.is_none_or(|id| {
            let state = &self.gate.state;
            state.table().on_bytes(state.now(), id, bytes as u64);
            state.reserve(id, memory)
        })
    }

    /// Records that a call was read in full and is being answered.
    fn begin_call(&self) {
        if let Some(guard) = lock(&self.guard).as_ref() {
            let state = &self.gate.state;
            state.table().on_request(state.now(), guard.id);
        }
    }

    /// Records the result of a call: the connection is known if it was valid, and is refused
    /// if there are as many known ones as may be.
    fn end_call(&self, is_valid: bool) {
        let mut place = lock(&self.guard);
        let Some(guard) = place.as_ref() else { return };
        let state = &self.gate.state;
        if !is_valid {
            state.table().on_head_start(state.now(), guard.id);
        } else if self.gate.known.fetch_add(1, Ordering::Relaxed) < self.gate.max_known {
            self.is_known.store(true, Ordering::Relaxed);
            *place = None;
        } else {
            self.gate.known.fetch_sub(1, Ordering::Relaxed);
            state.refuse(guard.id);
        }
    }
}

impl Drop for PeerTicket {
    fn drop(&mut self) {
        if self.is_known.load(Ordering::Relaxed) {
            self.gate.known.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Connection for JSON-RPC of which the first byte was read already.
pub(crate) struct GatedStream {
    pub(crate) stream: TcpStream,
    pub(crate) first: Option<u8>,
    pub(crate) scan: FrameScan,
    pub(crate) ticket: Arc<PeerTicket>,
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() > 0
            && let Some(first) = self.first.take()
        {
            buffer.put_slice(&[first]);
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = &buffer.filled()[before..];
        if !bytes.is_empty() && !self.ticket.is_known.load(Ordering::Relaxed) {
            let memory = self.scan.read(bytes);
            if !self.ticket.on_bytes(bytes.len(), memory) {
                return Poll::Ready(Err(io::Error::other("no room for the first message")));
            }
        }
        read
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Calls on a connection, which is known from the first valid one on.
#[derive(Clone)]
pub(crate) struct GatedCalls<S> {
    pub(crate) service: S,
    pub(crate) ticket: Arc<PeerTicket>,
}

impl<S> RpcServiceT for GatedCalls<S>
where
    S: RpcServiceT<MethodResponse = MethodResponse> + Send + Sync + Clone + 'static,
{
    type MethodResponse = S::MethodResponse;
    type NotificationResponse = S::NotificationResponse;
    type BatchResponse = S::BatchResponse;

    fn call<'a>(
        &self,
        request: Request<'a>,
    ) -> impl Future<Output = Self::MethodResponse> + Send + 'a {
        let GatedCalls { service, ticket } = self.clone();
        async move {
            ticket.begin_call();
            let response = service.call(request).await;
            ticket.end_call(response.is_success());
            response
        }
    }

    fn batch<'a>(&self, batch: Batch<'a>) -> impl Future<Output = Self::BatchResponse> + Send + 'a {
        self.service.batch(batch)
    }

    fn notification<'a>(
        &self,
        notification: Notification<'a>,
    ) -> impl Future<Output = Self::NotificationResponse> + Send + 'a {
        self.service.notification(notification)
    }
}

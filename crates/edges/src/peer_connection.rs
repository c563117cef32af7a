//! Opens and accepts connections between processes of the system.
//!
//! A host that is powered off does not reply, and the operating system
//! retransmits a lost SYN only after a second. Several short attempts connect to
//! a host that has come back much sooner than one long attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::net::{TcpListener, TcpStream};

use crate::peer_api::MAX_MESSAGE_BYTES;

/// How long opening a connection may take, over all attempts.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the first attempt; it doubles with each further attempt.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a request may take; longer than any lease allows a watch to stay
/// open.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of requests in flight on one connection.
const MAX_REQUESTS: usize = 1_024;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Waits for the next connection.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => return stream,
            Err(_refused) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Opens a connection to a process; `None` when it can't be reached in time.
pub(crate) async fn connect(address: SocketAddr) -> Option<Arc<WsClient>> {
    tokio::time::timeout(CONNECT_TIMEOUT, open_client(address)).await.ok()?
}

async fn open_client(address: SocketAddr) -> Option<Arc<WsClient>> {
    let stream = open_stream(address).await?;
    // Nagle's algorithm would delay small messages that a reply depends on.
    stream.set_nodelay(true).ok()?;
    let builder = WsClientBuilder::default()
        .request_timeout(REQUEST_TIMEOUT)
        .max_concurrent_requests(MAX_REQUESTS)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES);
    let client = builder.build_with_stream(format!("ws://{address}"), stream).await;
    client.ok().map(Arc::new)
}

/// Opens a TCP connection. Retries only timeouts: a host that refuses a connection is up, and the
/// attempt fails at once.
pub(crate) async fn open_stream(address: SocketAddr) -> Option<TcpStream> {
    let mut attempt_timeout = FIRST_ATTEMPT_TIMEOUT;
    loop {
        match tokio::time::timeout(attempt_timeout, TcpStream::connect(address)).await {
            Ok(opened) => return opened.ok(),
            Err(_elapsed) => attempt_timeout *= 2,
        }
    }
}

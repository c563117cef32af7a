//! Opens connections to other processes of the system.
//!
//! A host without power does not answer, and the operating system repeats a
//! lost opening packet only after a second. Several short attempts find a host
//! that has come back much sooner than one long attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::net::TcpStream;

use crate::peer_api::MOST_MESSAGE_BYTES;

/// How long opening a connection may take, with all its attempts.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long the first attempt waits; each later one waits twice as long.
const FIRST_ATTEMPT: Duration = Duration::from_millis(60);
/// How long a request may take; longer than any lease lets a watch wait.
const REQUEST_LIMIT: Duration = Duration::from_secs(8);
/// Requests that may wait for answers on one connection.
const MOST_REQUESTS: usize = 1_024;

/// Opens a connection to a process; `None` when it can't be reached in time.
pub(crate) async fn connect(address: SocketAddr) -> Option<Arc<WsClient>> {
    tokio::time::timeout(CONNECT_LIMIT, open_client(address)).await.ok()?
}

async fn open_client(address: SocketAddr) -> Option<Arc<WsClient>> {
    let stream = open_stream(address).await?;
    // Messages are small and wait for answers: they must not wait for more.
    stream.set_nodelay(true).ok()?;
    let builder = WsClientBuilder::default()
        .request_timeout(REQUEST_LIMIT)
        .max_concurrent_requests(MOST_REQUESTS)
        .max_request_size(MOST_MESSAGE_BYTES)
        .max_response_size(MOST_MESSAGE_BYTES);
    let client = builder.build_with_stream(format!("ws://{address}"), stream).await;
    client.ok().map(Arc::new)
}

/// A host that refuses is up: only silence is tried again.
async fn open_stream(address: SocketAddr) -> Option<TcpStream> {
    let mut limit = FIRST_ATTEMPT;
    loop {
        match tokio::time::timeout(limit, TcpStream::connect(address)).await {
            Ok(opened) => return opened.ok(),
            Err(_elapsed) => limit *= 2,
        }
    }
}

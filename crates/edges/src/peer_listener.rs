//! Accepts the connections to a control host: those for JSON-RPC are served here, the
//! streams of agents are handed over. The first byte of a connection tells them apart.

use std::io::Cursor;

use jsonrpsee::Methods;
use jsonrpsee::server::{Server, serve_with_graceful_shutdown, stop_channel};
use kernel::RingSender;
use model::ScheduleEdgeMessage;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

use crate::agent_stream::{AGENT_PREAMBLE, read_preamble};
use crate::peer_api::server_config;
use crate::peer_connection::accept;

/// Accepts connections until the task is dropped.
///
/// # Panics
/// When the listener is not usable.
pub(crate) async fn accept_peers(
    listener: std::net::TcpListener,
    methods: Methods,
    max_connections: u32,
    streams: RingSender<ScheduleEdgeMessage>,
) {
    let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
    // Dropping the second handle would stop the connections.
    let (stop, _server) = stop_channel();
    let rpc = Server::builder().set_config(server_config(max_connections)).to_service_builder();
    loop {
        let mut stream = accept(&listener).await;
        let (rpc, methods, stop) = (rpc.clone(), methods.clone(), stop.clone());
        let streams = streams.clone();
        tokio::task::spawn_local(async move {
            match read_preamble(&mut stream).await {
                Some(AGENT_PREAMBLE) => hand_over(stream, &streams),
                Some(first) => {
                    let service = rpc.build(methods, stop.clone());
                    let connection = with_first_byte(first, stream);
                    // The error only says how the peer left.
                    let _ended =
                        serve_with_graceful_shutdown(connection, service, stop.shutdown()).await;
                }
                None => {}
            }
        });
    }
}

/// Hands an agent's stream over. With a full ring it is closed, and the agent connects
/// again.
fn hand_over(stream: TcpStream, streams: &RingSender<ScheduleEdgeMessage>) {
    if let Ok(stream) = stream.into_std() {
        let _full = streams.push(ScheduleEdgeMessage::Connected { stream });
    }
}

/// A connection of which the first byte was read already.
fn with_first_byte(
    first: u8,
    stream: TcpStream,
) -> impl AsyncRead + AsyncWrite + Send + Unpin + 'static {
    // Without it the connection only is slower.
    let _delayed = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    tokio::io::join(Cursor::new([first]).chain(read_half), write_half)
}

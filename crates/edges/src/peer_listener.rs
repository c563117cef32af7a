//! Accepts the connections of other processes: those for JSON-RPC are served here, the
//! streams of agents are handed over. The first byte of a connection tells them apart.

use std::sync::Arc;

use jsonrpsee::Methods;
use jsonrpsee::server::middleware::rpc::RpcServiceBuilder;
use jsonrpsee::server::{Server, StopHandle, serve_with_graceful_shutdown, stop_channel};
use kernel::RingSender;
use model::ScheduleEdgeMessage;
use tokio::net::{TcpListener, TcpStream};

use crate::agent_stream::{AGENT_PREAMBLE, read_first_message, read_preamble};
use crate::edge_runtime::spawn_lasting;
use crate::frame_scan::FrameScan;
use crate::listener_state::ListenerSettings;
use crate::peer_api::server_config;
use crate::peer_connection::accept;
use crate::peer_gate::{GatedCalls, GatedStream, PeerGate, PeerTicket};

/// Accepts connections until the task is dropped. Without `streams`, those of agents are
/// closed.
///
/// # Panics
/// When the listener is not usable.
pub(crate) async fn accept_peers(
    listener: std::net::TcpListener,
    settings: ListenerSettings,
    methods: Methods,
    max_connections: u32,
    streams: Option<RingSender<ScheduleEdgeMessage>>,
) {
    let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
    let gate = PeerGate::new(settings);
    spawn_lasting(gate.clone().run_checks());
    // Dropping the second handle would stop the connections.
    let (stop, _server) = stop_channel();
    loop {
        let stream = accept(&listener).await;
        let Some(ticket) = gate.admit() else { continue };
        let (methods, stop, streams) = (methods.clone(), stop.clone(), streams.clone());
        tokio::task::spawn_local(async move {
            let serving = serve_peer(stream, &ticket, methods, max_connections, stop, streams);
            tokio::select! {
                () = serving => {}
                () = ticket.closed() => {}
            }
        });
    }
}

async fn serve_peer(
    mut stream: TcpStream,
    ticket: &Arc<PeerTicket>,
    methods: Methods,
    max_connections: u32,
    stop: StopHandle,
    streams: Option<RingSender<ScheduleEdgeMessage>>,
) {
    match (read_preamble(&mut stream, ticket).await, streams) {
        (Some(AGENT_PREAMBLE), Some(streams)) => {
            // The error only says how the peer left, or what it sent.
            let Ok(first) = read_first_message(&mut stream, ticket).await else { return };
            if let Ok(stream) = stream.into_std() {
                // With a full ring the stream is closed, and the agent connects again.
                let first = Box::new(first);
                let _full = streams.push(ScheduleEdgeMessage::Connected { stream, first });
            }
        }
        (Some(AGENT_PREAMBLE) | None, _) => {}
        (Some(first), _) => {
            // Without it the connection only is slower.
            let _delayed = stream.set_nodelay(true);
            let calls = Arc::clone(ticket);
            let layer = RpcServiceBuilder::new()
                .layer_fn(move |service| GatedCalls { service, ticket: Arc::clone(&calls) });
            let rpc = Server::builder().set_config(server_config(max_connections));
            let service = rpc.set_rpc_middleware(layer).to_service_builder();
            let service = service.build(methods, stop.clone());
            let stream = GatedStream {
                stream,
                first: Some(first),
                scan: FrameScan::default(),
                ticket: Arc::clone(ticket),
            };
            let _ended = serve_with_graceful_shutdown(stream, service, stop.shutdown()).await;
        }
    }
}

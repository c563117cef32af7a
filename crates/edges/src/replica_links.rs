//! The duty that connects a control host to the others of its group.
//!
//! A message that can't be sent is dropped: the protocol between replicas
//! repeats what matters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use jsonrpsee::ws_client::WsClient;
use kernel::{Registry, RingReceiver, RingSender};
use model::{
    ControlPeer, ControlReplyBody, LogMessage, MessageKind, NodeId, ProcessCounters,
    ReplicaEnvelope, ReplicaLinkMessage, ReplicaMessage, ServiceName,
};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::edge_runtime::block_on;
use crate::peer_api::ControlApiClient;
use crate::peer_connection::connect;

/// Messages that may wait for one connection.
const LINK_QUEUE: usize = 4_096;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long another replica may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

struct OpenLink {
    address: SocketAddr,
    queue: mpsc::Sender<Box<ReplicaEnvelope>>,
    task: JoinHandle<()>,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the replicated log is not registered.
pub fn run(
    ring: &RingReceiver<ReplicaLinkMessage>,
    registry: &Registry<ServiceName>,
    own: &NodeId,
    counters: &ProcessCounters,
) {
    let replicated: RingSender<LogMessage> =
        registry.find(ServiceName::ReplicatedLog).expect("the log is registered");
    let mut open: IndexMap<NodeId, OpenLink> = IndexMap::new();
    block_on(async move {
        while let Some(message) = ring.next().await {
            match message {
                ReplicaLinkMessage::Group { group } => {
                    let others: Vec<&ControlPeer> =
                        group.iter().filter(|peer| peer.name != *own).collect();
                    set_group(&mut open, &others, &replicated, counters);
                }
                ReplicaLinkMessage::Send { to, envelope } => {
                    if let Some(link) = open.get(&to) {
                        // What finds no room is repeated by the protocol.
                        let _dropped = link.queue.try_send(envelope);
                    }
                }
            }
        }
    });
}

fn set_group(
    open: &mut IndexMap<NodeId, OpenLink>,
    others: &[&ControlPeer],
    replicated: &RingSender<LogMessage>,
    counters: &ProcessCounters,
) {
    open.retain(|name, link| {
        let keep = others.iter().any(|peer| peer.name == *name && peer.address == link.address);
        if !keep {
            link.task.abort();
        }
        keep
    });
    for peer in others {
        if !open.contains_key(&peer.name) {
            let (queue, waiting) = mpsc::channel(LINK_QUEUE);
            let carrying = carry_all(peer.address, waiting, replicated.clone(), counters.clone());
            let task = tokio::task::spawn_local(carrying);
            open.insert(peer.name.clone(), OpenLink { address: peer.address, queue, task });
        }
    }
}

async fn carry_all(
    address: SocketAddr,
    mut waiting: mpsc::Receiver<Box<ReplicaEnvelope>>,
    replicated: RingSender<LogMessage>,
    counters: ProcessCounters,
) {
    loop {
        let Some(client) = connect(address).await else {
            drop_for(&mut waiting, RETRY_PAUSE).await;
            continue;
        };
        while client.is_connected() {
            let Some(envelope) = waiting.recv().await else { return };
            count(&counters, &envelope.message);
            let client = Arc::clone(&client);
            tokio::task::spawn_local(carry(client, *envelope, replicated.clone()));
        }
    }
}

/// Drops messages while there is no connection.
async fn drop_for(waiting: &mut mpsc::Receiver<Box<ReplicaEnvelope>>, pause: Duration) {
    let over = tokio::time::sleep(pause);
    tokio::pin!(over);
    loop {
        tokio::select! {
            () = &mut over => return,
            Some(_dropped) = waiting.recv() => {}
        }
    }
}

async fn carry(
    client: Arc<WsClient>,
    envelope: ReplicaEnvelope,
    replicated: RingSender<LogMessage>,
) {
    let answer = tokio::time::timeout(ANSWER_LIMIT, client.replica(envelope)).await;
    if let Ok(Ok(ControlReplyBody::Replica(Some(envelope)))) = answer {
        // What finds no room is repeated by the protocol.
        let _dropped = replicated.push(LogMessage::ReplicaAnswer { envelope });
    }
}

/// Counts a message and its answer by what they do.
fn count(counters: &ProcessCounters, message: &ReplicaMessage) {
    let kind = match message {
        ReplicaMessage::Append { records, .. } if records.is_empty() => MessageKind::Heartbeat,
        ReplicaMessage::Hello { .. }
        | ReplicaMessage::VoteRequest { .. }
        | ReplicaMessage::LeadQuestion { .. } => MessageKind::Question,
        _ => MessageKind::Useful,
    };
    counters.count_exchange(kind);
}

//! The duty that connects a control host to the other replicas of its group.
//!
//! A message that can't be sent is dropped: the replication protocol repeats
//! messages that matter.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
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
use tokio::time::Instant;

use crate::edge_runtime::{block_on, spawn_lasting};
use crate::peer_api::ControlApiClient;
use crate::peer_connection::connect;

/// Messages that may wait in one link's queue.
const LINK_QUEUE_CAPACITY: usize = 4_096;
/// Delay before the next attempt to connect; messages are discarded meanwhile.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long another replica may take to answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without any answer on a connection after which later messages go on a new one. The
/// other end of a connection may be gone without a trace: a host that lost power closes none.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// A link to one replica, with the task that runs it.
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
    own_name: &NodeId,
    counters: &ProcessCounters,
) {
    let replicated_log: RingSender<LogMessage> =
        registry.find(ServiceName::ReplicatedLog).expect("the log is registered");
    let mut open: IndexMap<NodeId, OpenLink> = IndexMap::new();
    block_on(async move {
        while let Some(message) = ring.next().await {
            match message {
                ReplicaLinkMessage::Group { group } => {
                    let others: Vec<&ControlPeer> =
                        group.iter().filter(|peer| peer.name != *own_name).collect();
                    update_group(&mut open, &others, &replicated_log, counters);
                }
                ReplicaLinkMessage::Send { to, envelope } => {
                    if let Some(link) = open.get(&to) {
                        // The protocol repeats messages that a full queue drops.
                        let _dropped = link.queue.try_send(envelope);
                    }
                }
            }
        }
    });
}

fn update_group(
    open: &mut IndexMap<NodeId, OpenLink>,
    others: &[&ControlPeer],
    replicated_log: &RingSender<LogMessage>,
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
            let (queue, waiting) = mpsc::channel(LINK_QUEUE_CAPACITY);
            let link = run_link(peer.address, waiting, replicated_log.clone(), counters.clone());
            let task = spawn_lasting(link);
            open.insert(peer.name.clone(), OpenLink { address: peer.address, queue, task });
        }
    }
}

/// One connection to a replica; open calls keep it alive.
struct LinkConnection {
    client: Arc<WsClient>,
    /// Time of the first message that was sent since the latest answer.
    unanswered_since: Cell<Option<Instant>>,
}

impl LinkConnection {
    /// Whether the other end may still be there.
    fn is_alive(&self) -> bool {
        let is_silent =
            self.unanswered_since.get().is_some_and(|since| since.elapsed() > SILENCE_TIMEOUT);
        self.client.is_connected() && !is_silent
    }
}

/// Keeps a connection to one replica and sends it the messages of the queue; the
/// calls of one connection run concurrently.
async fn run_link(
    address: SocketAddr,
    mut waiting: mpsc::Receiver<Box<ReplicaEnvelope>>,
    replicated_log: RingSender<LogMessage>,
    counters: ProcessCounters,
) {
    loop {
        let Some(client) = connect(address).await else {
            discard_for(&mut waiting, RETRY_DELAY).await;
            continue;
        };
        let connection = Rc::new(LinkConnection { client, unanswered_since: Cell::new(None) });
        while connection.is_alive() {
            let Some(envelope) = waiting.recv().await else { return };
            count(&counters, &envelope.message);
            let connection = Rc::clone(&connection);
            tokio::task::spawn_local(send(connection, *envelope, replicated_log.clone()));
        }
    }
}

/// Discards messages for a while, since there is no connection.
async fn discard_for(waiting: &mut mpsc::Receiver<Box<ReplicaEnvelope>>, duration: Duration) {
    let elapsed = tokio::time::sleep(duration);
    tokio::pin!(elapsed);
    loop {
        tokio::select! {
            () = &mut elapsed => return,
            Some(_dropped) = waiting.recv() => {}
        }
    }
}

/// Sends one message and forwards the reply to the replicated log.
async fn send(
    connection: Rc<LinkConnection>,
    envelope: ReplicaEnvelope,
    replicated_log: RingSender<LogMessage>,
) {
    let since = connection.unanswered_since.get().unwrap_or_else(Instant::now);
    connection.unanswered_since.set(Some(since));
    let reply = tokio::time::timeout(REPLY_TIMEOUT, connection.client.replica(envelope)).await;
    if matches!(reply, Ok(Ok(_))) {
        connection.unanswered_since.set(None);
    }
    if let Ok(Ok(ControlReplyBody::Replica(Some(envelope)))) = reply {
        // The protocol repeats messages that a full ring drops.
        let _dropped = replicated_log.push(LogMessage::ReplicaAnswer { envelope });
    }
}

/// Counts a message and its reply under the message's kind.
fn count(counters: &ProcessCounters, message: &ReplicaMessage) {
    let kind = match message {
        ReplicaMessage::Append { records, .. } if records.is_empty() => MessageKind::Heartbeat,
        ReplicaMessage::Hello { .. }
        | ReplicaMessage::VoteRequest { .. }
        | ReplicaMessage::LeaderQuery { .. } => MessageKind::Question,
        _ => MessageKind::Useful,
    };
    counters.count_request_reply(kind);
}

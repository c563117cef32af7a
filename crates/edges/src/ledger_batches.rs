//! Sends ledger commands and figures to the leading control host. A batch
//! collects the commands that arrive while earlier batches are in flight.
//!
//! Invariant: each ledger command gets exactly one reply: applied, not accepted
//! (by any attempt, so it had no effect), or reply lost (its outcome is
//! unknown).

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use kernel::{Reservation, RingReceiver, RingSender};
use model::{
    Command, CommandResult, ControlLinkMessage, ControlReplyBody, JobKey, JobMessage, LedgerReply,
    MessageKind, ProcessCounters,
};
use tokio::sync::Semaphore;

use crate::peer_api::{ControlApiClient, NOT_ACCEPTED};
use crate::peer_connection::connect;

/// Maximum number of batches in flight.
const MAX_INFLIGHT_BATCHES: usize = 4;
/// Maximum number of commands in a batch.
const MAX_BATCH_COMMANDS: usize = 512;
/// Attempts to propose a batch before it is reported as not accepted.
const MAX_ATTEMPTS: usize = 8;
/// How long the leader may take to apply a batch.
const REPLY_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_500);
/// Delay before a batch is retried while no leader is known.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(150);

/// The sender of a command, which gets the reply.
enum Requester {
    Job { key: JobKey, reply: Reservation<JobMessage> },
    Figures { sequence: u64 },
}

impl Requester {
    fn notify(self, reply: LedgerReply, jobs: Option<&RingSender<JobMessage>>) {
        match self {
            Requester::Job { key, reply: slot } => {
                slot.push(JobMessage::Ledger { key, reply });
            }
            Requester::Figures { sequence } => {
                let applied = matches!(reply, LedgerReply::Applied { .. });
                if let (true, Some(jobs)) = (applied, jobs) {
                    // If the ring is full, the increment is sent again; control adds it
                    // only once.
                    let _full = jobs.push(JobMessage::FiguresRecorded { sequence });
                }
            }
        }
    }
}

/// The result of one attempt to propose a batch.
enum ProposeResult {
    Results(Vec<CommandResult>),
    /// No command had an effect.
    NotAccepted {
        leader: Option<SocketAddr>,
    },
    /// The commands may have been applied.
    ReplyLost,
}

/// The control hosts, the one to try next, and the connection in use.
struct ControlConnection {
    controls: Vec<SocketAddr>,
    /// Position of the next host in `controls`, modulo its length.
    next_host: usize,
    client: Option<Arc<WsClient>>,
}

/// Batches of ledger commands to control.
pub(crate) struct LedgerBatches {
    connection: Rc<RefCell<ControlConnection>>,
    counters: ProcessCounters,
    jobs: Option<RingSender<JobMessage>>,
}

impl LedgerBatches {
    pub(crate) fn new(
        controls: Vec<SocketAddr>,
        counters: ProcessCounters,
        jobs: Option<RingSender<JobMessage>>,
    ) -> LedgerBatches {
        let connection = ControlConnection { controls, next_host: 0, client: None };
        LedgerBatches { connection: Rc::new(RefCell::new(connection)), counters, jobs }
    }

    /// Sends commands until the ring is closed.
    pub(crate) async fn run(self, ring: &RingReceiver<ControlLinkMessage>) {
        let permits = Arc::new(Semaphore::new(MAX_INFLIGHT_BATCHES));
        let batches = Rc::new(self);
        while let Some(first) = ring.next().await {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            let batch = collect_batch(first, ring);
            let batches = Rc::clone(&batches);
            tokio::task::spawn_local(async move {
                batches.send(batch).await;
                drop(permit);
            });
        }
        // Wait for the batches that are in flight when the ring closes.
        let _all = permits.acquire_many(MAX_INFLIGHT_BATCHES as u32).await;
    }

    async fn send(&self, batch: Vec<(Command, Requester)>) {
        let (commands, requesters): (Vec<Command>, Vec<Requester>) = batch.into_iter().unzip();
        let replies = self.propose_with_retries(&commands).await;
        for (requester, reply) in requesters.into_iter().zip(replies) {
            requester.notify(reply, self.jobs.as_ref());
        }
    }

    async fn propose_with_retries(&self, commands: &[Command]) -> Vec<LedgerReply> {
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                self.counters.count_message(MessageKind::Retry);
            }
            match self.propose_once(commands).await {
                ProposeResult::Results(results) => {
                    let applied = |result| LedgerReply::Applied { result };
                    return results.into_iter().map(applied).collect();
                }
                ProposeResult::NotAccepted { leader } => self.switch_host(leader).await,
                ProposeResult::ReplyLost => {
                    self.switch_host(None).await;
                    return vec![LedgerReply::ReplyLost; commands.len()];
                }
            }
        }
        vec![LedgerReply::NotAccepted; commands.len()]
    }

    async fn propose_once(&self, commands: &[Command]) -> ProposeResult {
        let Some(client) = self.client().await else {
            return ProposeResult::NotAccepted { leader: None };
        };
        let call = client.propose(commands.to_vec());
        let Ok(answer) = tokio::time::timeout(REPLY_TIMEOUT, call).await else {
            return ProposeResult::ReplyLost;
        };
        match answer {
            Ok(ControlReplyBody::Results(results)) if results.len() == commands.len() => {
                ProposeResult::Results(results)
            }
            Ok(ControlReplyBody::NotLeader(hint)) => {
                ProposeResult::NotAccepted { leader: hint.leader }
            }
            Err(ClientError::Call(error)) if error.code() == NOT_ACCEPTED => {
                ProposeResult::NotAccepted { leader: None }
            }
            Ok(_) | Err(_) => ProposeResult::ReplyLost,
        }
    }

    async fn client(&self) -> Option<Arc<WsClient>> {
        let known = self.connection.borrow().client.clone();
        if let Some(client) = known.filter(|client| client.is_connected()) {
            return Some(client);
        }
        let address = {
            let state = self.connection.borrow();
            state.controls[state.next_host % state.controls.len()]
        };
        let client = connect(address).await;
        self.connection.borrow_mut().client = client.clone();
        client
    }

    /// Switches to the leader if a host named one, to the next host after a delay
    /// otherwise.
    async fn switch_host(&self, leader: Option<SocketAddr>) {
        let known = {
            let mut state = self.connection.borrow_mut();
            state.client = None;
            let position = state.controls.iter().position(|address| Some(*address) == leader);
            state.next_host = position.unwrap_or(state.next_host + 1);
            position.is_some()
        };
        if !known {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Collects a batch: the first command and all others that wait in the ring.
fn collect_batch(
    first: ControlLinkMessage,
    ring: &RingReceiver<ControlLinkMessage>,
) -> Vec<(Command, Requester)> {
    let mut batch: Vec<(Command, Requester)> = vec![into_command(first)];
    while batch.len() < MAX_BATCH_COMMANDS {
        let Some(message) = ring.try_next() else { break };
        batch.push(into_command(message));
    }
    batch
}

fn into_command(message: ControlLinkMessage) -> (Command, Requester) {
    match message {
        ControlLinkMessage::Ledger { key, command, reply } => {
            (*command, Requester::Job { key, reply })
        }
        ControlLinkMessage::Figures { increment } => {
            let sequence = increment.sequence;
            (Command::AddFigures { increment }, Requester::Figures { sequence })
        }
    }
}

//! Carries ledger commands and figures to the leading control host, in
//! batches that form by themselves while earlier ones are on their way.
//!
//! Invariant: each ledger command gets exactly one word: applied, surely not
//! sent, or answer lost.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::WsClient;
use kernel::{Reservation, RingReceiver, RingSender};
use model::{
    Command, CommandResult, ControlLinkMessage, ControlReplyBody, JobKey, JobMessage, LedgerWord,
    MessageKind, ProcessCounters,
};
use tokio::sync::Semaphore;

use crate::peer_api::{ControlApiClient, NOT_TAKEN};
use crate::peer_connection::connect;

/// Batches on their way at a time.
const MOST_BATCHES: usize = 4;
/// Commands in one batch.
const MOST_COMMANDS: usize = 512;
/// Hosts that one batch is offered to before it counts as not sent.
const MOST_OFFERS: usize = 8;
/// How long the leading host may take to apply a batch.
const ANSWER_LIMIT: std::time::Duration = std::time::Duration::from_millis(1_500);
/// Pause before a batch is offered again while no host leads.
const OFFER_PAUSE: std::time::Duration = std::time::Duration::from_millis(150);

/// Who waits for a command's word.
enum Waiter {
    Job { key: JobKey, reply: Reservation<JobMessage> },
    Figures { sequence: u64 },
}

impl Waiter {
    fn tell(self, word: LedgerWord, jobs: Option<&RingSender<JobMessage>>) {
        match self {
            Waiter::Job { key, reply } => reply.push(JobMessage::Ledger { key, word }),
            Waiter::Figures { sequence } => {
                let applied = matches!(word, LedgerWord::Applied { .. });
                if let (true, Some(jobs)) = (applied, jobs) {
                    // Without room the increment is shipped again, and added once.
                    let _full = jobs.push(JobMessage::FiguresRecorded { sequence });
                }
            }
        }
    }
}

/// What became of an offered batch.
enum Offer {
    Results(Vec<CommandResult>),
    NotTaken { leader: Option<SocketAddr> },
    Lost,
}

struct ConnectionState {
    controls: Vec<SocketAddr>,
    next: usize,
    client: Option<Arc<WsClient>>,
}

/// Ledger commands on their way to control.
pub(crate) struct LedgerBatches {
    connection: Rc<RefCell<ConnectionState>>,
    counters: ProcessCounters,
    jobs: Option<RingSender<JobMessage>>,
}

impl LedgerBatches {
    pub(crate) fn new(
        controls: Vec<SocketAddr>,
        counters: ProcessCounters,
        jobs: Option<RingSender<JobMessage>>,
    ) -> LedgerBatches {
        let connection = ConnectionState { controls, next: 0, client: None };
        LedgerBatches { connection: Rc::new(RefCell::new(connection)), counters, jobs }
    }

    /// Carries commands until the ring is closed.
    pub(crate) async fn run(self, ring: &RingReceiver<ControlLinkMessage>) {
        let room = Arc::new(Semaphore::new(MOST_BATCHES));
        let batches = Rc::new(self);
        while let Some(first) = ring.next().await {
            let Ok(permit) = Arc::clone(&room).acquire_owned().await else { return };
            let batch = gather(first, ring);
            let batches = Rc::clone(&batches);
            tokio::task::spawn_local(async move {
                batches.carry(batch).await;
                drop(permit);
            });
        }
        // The last batches are on their way when the ring closes.
        let _all = room.acquire_many(MOST_BATCHES as u32).await;
    }

    async fn carry(&self, batch: Vec<(Command, Waiter)>) {
        let (commands, waiters): (Vec<Command>, Vec<Waiter>) = batch.into_iter().unzip();
        let words = self.offer_until_taken(&commands).await;
        for (waiter, word) in waiters.into_iter().zip(words) {
            waiter.tell(word, self.jobs.as_ref());
        }
    }

    async fn offer_until_taken(&self, commands: &[Command]) -> Vec<LedgerWord> {
        for attempt in 0..MOST_OFFERS {
            if attempt > 0 {
                self.counters.count(MessageKind::Retry);
            }
            match self.offer(commands).await {
                Offer::Results(results) => {
                    let applied = |result| LedgerWord::Applied { result };
                    return results.into_iter().map(applied).collect();
                }
                Offer::NotTaken { leader } => self.turn_to(leader).await,
                Offer::Lost => {
                    self.turn_to(None).await;
                    return vec![LedgerWord::AnswerLost; commands.len()];
                }
            }
        }
        vec![LedgerWord::NotSent; commands.len()]
    }

    async fn offer(&self, commands: &[Command]) -> Offer {
        let Some(client) = self.client().await else { return Offer::NotTaken { leader: None } };
        let proposing = client.propose(commands.to_vec());
        let Ok(answer) = tokio::time::timeout(ANSWER_LIMIT, proposing).await else {
            return Offer::Lost;
        };
        match answer {
            Ok(ControlReplyBody::Results(results)) if results.len() == commands.len() => {
                Offer::Results(results)
            }
            Ok(ControlReplyBody::NotLeader { leader }) => Offer::NotTaken { leader },
            Err(ClientError::Call(error)) if error.code() == NOT_TAKEN => {
                Offer::NotTaken { leader: None }
            }
            Ok(_) | Err(_) => Offer::Lost,
        }
    }

    async fn client(&self) -> Option<Arc<WsClient>> {
        let known = self.connection.borrow().client.clone();
        if let Some(client) = known.filter(|client| client.is_connected()) {
            return Some(client);
        }
        let address = {
            let state = self.connection.borrow();
            state.controls[state.next % state.controls.len()]
        };
        let client = connect(address).await;
        self.connection.borrow_mut().client = client.clone();
        client
    }

    /// Turns to the leader when one was named, to the next host after a pause
    /// otherwise.
    async fn turn_to(&self, leader: Option<SocketAddr>) {
        let known = {
            let mut state = self.connection.borrow_mut();
            state.client = None;
            let position = state.controls.iter().position(|address| Some(*address) == leader);
            state.next = position.unwrap_or(state.next + 1);
            position.is_some()
        };
        if !known {
            tokio::time::sleep(OFFER_PAUSE).await;
        }
    }
}

/// One batch: the first command and whatever else waits.
fn gather(
    first: ControlLinkMessage,
    ring: &RingReceiver<ControlLinkMessage>,
) -> Vec<(Command, Waiter)> {
    let mut batch: Vec<(Command, Waiter)> = vec![as_command(first)];
    while batch.len() < MOST_COMMANDS {
        let Some(message) = ring.try_next() else { break };
        batch.push(as_command(message));
    }
    batch
}

fn as_command(message: ControlLinkMessage) -> (Command, Waiter) {
    match message {
        ControlLinkMessage::Ledger { key, command, reply } => {
            (*command, Waiter::Job { key, reply })
        }
        ControlLinkMessage::Figures { increment } => {
            let sequence = increment.sequence;
            (Command::AddFigures { increment }, Waiter::Figures { sequence })
        }
    }
}

//! An operator's connection to the control group.
//!
//! Invariant: what may have been applied is never reported as "not applied".

use std::net::SocketAddr;
use std::time::Duration;

use edges::ControlApiClient;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use model::{Command, CommandResult, ControlAnswer, ControlQuery, ControlReplyBody};
use snafu::Snafu;

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
const OFFER_PAUSE: Duration = Duration::from_millis(200);
/// Hosts asked before giving up.
const MOST_OFFERS: usize = 25;
const MOST_BYTES: u32 = 32 * 1024 * 1024;

/// Why control gave no result.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ControlFailure {
    /// No host leads, or none can be reached; nothing was changed.
    #[snafu(display("no control host leads, or none can be reached; nothing was changed"))]
    NoLeader,
    /// The answer was lost; the change may have been made.
    #[snafu(display("no quorum confirmed in time: outcome unknown; resend the same request"))]
    Unknown,
}

/// A connection to the control group.
pub struct ControlClient {
    controls: Vec<SocketAddr>,
    next: usize,
    client: Option<WsClient>,
}

enum Offer {
    Taken(Box<ControlReplyBody>),
    NotTaken(Option<SocketAddr>),
    Lost,
}

impl ControlClient {
    /// A client of the group at these addresses.
    pub fn new(controls: Vec<SocketAddr>) -> ControlClient {
        ControlClient { controls, next: 0, client: None }
    }

    /// Puts a command into the replicated log.
    ///
    /// # Errors
    /// `NoLeader` when it surely was not applied, `Unknown` otherwise.
    pub async fn propose(&mut self, command: Command) -> Result<CommandResult, ControlFailure> {
        for _ in 0..MOST_OFFERS {
            match self.offer_command(&command).await {
                Offer::Taken(body) => return one_result(*body),
                Offer::NotTaken(leader) => self.turn_to(leader).await,
                Offer::Lost => return Err(ControlFailure::Unknown),
            }
        }
        Err(ControlFailure::NoLeader)
    }

    /// Asks the leading host.
    ///
    /// # Errors
    /// When no host leads or answers.
    pub async fn query(&mut self, query: ControlQuery) -> Result<ControlAnswer, ControlFailure> {
        for _ in 0..MOST_OFFERS {
            let Some(client) = self.connected().await else {
                self.turn_to(None).await;
                continue;
            };
            match client.query(query.clone()).await {
                Ok(ControlReplyBody::Answer(answer)) => return Ok(*answer),
                Ok(ControlReplyBody::NotLeader { leader }) => self.turn_to(leader).await,
                Ok(_) | Err(_) => self.turn_to(None).await,
            }
        }
        Err(ControlFailure::NoLeader)
    }

    async fn offer_command(&mut self, command: &Command) -> Offer {
        let Some(client) = self.connected().await else { return Offer::NotTaken(None) };
        match client.propose(vec![command.clone()]).await {
            Ok(ControlReplyBody::NotLeader { leader }) => Offer::NotTaken(leader),
            Ok(body) => Offer::Taken(Box::new(body)),
            Err(_) => Offer::Lost,
        }
    }

    async fn connected(&mut self) -> Option<&WsClient> {
        if self.client.is_none() {
            let address = self.controls[self.next % self.controls.len()];
            let builder = WsClientBuilder::default()
                .connection_timeout(CONNECT_LIMIT)
                .request_timeout(ANSWER_LIMIT)
                .max_request_size(MOST_BYTES)
                .max_response_size(MOST_BYTES);
            self.client = builder.build(format!("ws://{address}")).await.ok();
        }
        self.client.as_ref()
    }

    async fn turn_to(&mut self, leader: Option<SocketAddr>) {
        self.client = None;
        let position = self.controls.iter().position(|address| Some(*address) == leader);
        self.next = position.unwrap_or(self.next + 1);
        if position.is_none() {
            tokio::time::sleep(OFFER_PAUSE).await;
        }
    }
}

fn one_result(body: ControlReplyBody) -> Result<CommandResult, ControlFailure> {
    match body {
        ControlReplyBody::Results(mut results) if results.len() == 1 => Ok(results.remove(0)),
        _ => Err(ControlFailure::Unknown),
    }
}

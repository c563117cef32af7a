//! Client of the control group for operators' commands and queries; finds the
//! leader and follows it.
//!
//! Invariant: a command that may have been applied is never reported as
//! `NoLeader`, which says that nothing was changed.

use std::net::SocketAddr;
use std::time::Duration;

use edges::ControlApiClient;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use model::{Command, CommandResult, ControlAnswer, ControlQuery, ControlReplyBody};
use snafu::Snafu;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Attempts before a call fails with `NoLeader`.
const MAX_ATTEMPTS: usize = 25;
const MAX_MESSAGE_BYTES: u32 = 32 * 1024 * 1024;

/// Why a call to the control group has no result.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ControlFailure {
    /// No leader was found, so nothing was changed.
    #[snafu(display("no control host leads, or none can be reached; nothing was changed"))]
    NoLeader,
    /// The reply was lost; the command may have been applied.
    #[snafu(display("no quorum confirmed in time: outcome unknown; resend the same request"))]
    Unknown,
}

/// A client with one connection at a time, to the host last known to lead.
pub struct ControlClient {
    controls: Vec<SocketAddr>,
    /// Index of the host to connect to; taken modulo their number.
    selected: usize,
    client: Option<WsClient>,
}

/// The outcome of one attempt to propose a command.
enum ProposeAttempt {
    /// The leader's reply.
    Replied(Box<ControlReplyBody>),
    /// Not applied: there was no connection, or the host is not the leader; it
    /// may name the leader.
    NotApplied(Option<SocketAddr>),
    /// Sent, but without a reply.
    Unknown,
}

impl ControlClient {
    /// Creates a client of the control hosts at `controls`, without connecting.
    pub fn new(controls: Vec<SocketAddr>) -> ControlClient {
        ControlClient { controls, selected: 0, client: None }
    }

    /// Proposes a command to the replicated log and returns its result.
    ///
    /// # Errors
    /// `NoLeader` if the command was never sent to a leader and so not applied,
    /// `Unknown` if it may have been applied.
    pub async fn propose(&mut self, command: Command) -> Result<CommandResult, ControlFailure> {
        for _ in 0..MAX_ATTEMPTS {
            match self.try_propose(&command).await {
                ProposeAttempt::Replied(body) => return single_result(*body),
                ProposeAttempt::NotApplied(leader) => self.switch_to(leader).await,
                ProposeAttempt::Unknown => return Err(ControlFailure::Unknown),
            }
        }
        Err(ControlFailure::NoLeader)
    }

    /// Queries the leader.
    ///
    /// # Errors
    /// `NoLeader` if no leader answers within `MAX_ATTEMPTS`.
    pub async fn query(&mut self, query: ControlQuery) -> Result<ControlAnswer, ControlFailure> {
        for _ in 0..MAX_ATTEMPTS {
            let Some(client) = self.connect().await else {
                self.switch_to(None).await;
                continue;
            };
            match client.query(query.clone()).await {
                Ok(ControlReplyBody::Answer(answer)) => return Ok(*answer),
                Ok(ControlReplyBody::NotLeader { leader }) => self.switch_to(leader).await,
                Ok(_) | Err(_) => self.switch_to(None).await,
            }
        }
        Err(ControlFailure::NoLeader)
    }

    async fn try_propose(&mut self, command: &Command) -> ProposeAttempt {
        let Some(client) = self.connect().await else { return ProposeAttempt::NotApplied(None) };
        match client.propose(vec![command.clone()]).await {
            Ok(ControlReplyBody::NotLeader { leader }) => ProposeAttempt::NotApplied(leader),
            Ok(body) => ProposeAttempt::Replied(Box::new(body)),
            Err(_) => ProposeAttempt::Unknown,
        }
    }

    async fn connect(&mut self) -> Option<&WsClient> {
        if self.client.is_none() {
            let address = self.controls[self.selected % self.controls.len()];
            let builder = WsClientBuilder::default()
                .connection_timeout(CONNECT_TIMEOUT)
                .request_timeout(REPLY_TIMEOUT)
                .max_request_size(MAX_MESSAGE_BYTES)
                .max_response_size(MAX_MESSAGE_BYTES);
            self.client = builder.build(format!("ws://{address}")).await.ok();
        }
        self.client.as_ref()
    }

    /// Drops the connection and selects `leader`, if it is one of `controls`;
    /// otherwise selects the next host after a pause.
    async fn switch_to(&mut self, leader: Option<SocketAddr>) {
        self.client = None;
        let position = self.controls.iter().position(|address| Some(*address) == leader);
        self.selected = position.unwrap_or(self.selected + 1);
        if position.is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn single_result(body: ControlReplyBody) -> Result<CommandResult, ControlFailure> {
    match body {
        ControlReplyBody::Results(mut results) if results.len() == 1 => Ok(results.remove(0)),
        _ => Err(ControlFailure::Unknown),
    }
}

//! Client of the control group for operators' commands and queries; finds the
//! leader and follows it.
//!
//! Invariant: a command that may have been applied is never reported as
//! `NoLeader`, which says that nothing was changed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use edges::ControlApiClient;
use edges::leader_finder::{HostAnswer, LeaderFinder};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use kernel::SystemClock;
use model::{Command, CommandResult, ControlAnswer, ControlQuery, ControlReplyBody, LeaderHint};
use snafu::Snafu;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the search for a host that can be reached may take.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(5);
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
    finder: LeaderFinder,
    connection: Option<(SocketAddr, Arc<WsClient>)>,
}

/// The outcome of one attempt to propose a command.
enum ProposeAttempt {
    /// The leader's reply.
    Replied(Box<ControlReplyBody>),
    /// Not applied: the host is not the leader.
    NotApplied,
    /// Sent, but without a reply.
    Unknown,
}

impl ControlClient {
    /// Creates a client of the control hosts at `controls`, without connecting.
    pub fn new(controls: Vec<SocketAddr>) -> ControlClient {
        let finder = LeaderFinder::new(Arc::new(SystemClock), controls, "", None);
        ControlClient { finder, connection: None }
    }

    /// Proposes a command to the replicated log and returns its result.
    ///
    /// # Errors
    /// `NoLeader` if the command was never sent to a leader and so not applied,
    /// `Unknown` if it may have been applied.
    pub async fn propose(&mut self, command: Command) -> Result<CommandResult, ControlFailure> {
        for _ in 0..MAX_ATTEMPTS {
            match self.try_propose(&command).await? {
                ProposeAttempt::Replied(body) => return single_result(*body),
                ProposeAttempt::NotApplied => {}
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
            let (host, client) = self.connect().await?;
            match client.query(query.clone()).await {
                Ok(ControlReplyBody::Answer(answer)) => return Ok(*answer),
                Ok(ControlReplyBody::NotLeader(hint)) => self.leave(host, &hint),
                Ok(_) | Err(_) => self.lose(host),
            }
        }
        Err(ControlFailure::NoLeader)
    }

    async fn try_propose(&mut self, command: &Command) -> Result<ProposeAttempt, ControlFailure> {
        let (host, client) = self.connect().await?;
        Ok(match client.propose(vec![command.clone()]).await {
            Ok(ControlReplyBody::NotLeader(hint)) => {
                self.leave(host, &hint);
                ProposeAttempt::NotApplied
            }
            Ok(body) => ProposeAttempt::Replied(Box::new(body)),
            Err(_) => {
                self.lose(host);
                ProposeAttempt::Unknown
            }
        })
    }

    /// Connects to a host that may lead.
    ///
    /// # Errors
    /// `NoLeader` if no host can be reached.
    async fn connect(&mut self) -> Result<(SocketAddr, Arc<WsClient>), ControlFailure> {
        if let Some(connection) = &self.connection {
            return Ok(connection.clone());
        }
        let ask = async |host| match open(host).await {
            Some(client) => HostAnswer::Leads(client),
            None => HostAnswer::Silent,
        };
        let found = tokio::time::timeout(SEARCH_TIMEOUT, self.finder.find(ask)).await;
        let (host, client) = found.map_err(|_elapsed| ControlFailure::NoLeader)?;
        Ok(self.connection.insert((host, Arc::new(client))).clone())
    }

    /// Drops the connection to a host that does not lead.
    fn leave(&mut self, host: SocketAddr, hint: &LeaderHint) {
        self.connection = None;
        self.finder.deny(host, hint);
    }

    /// Drops a connection that has failed.
    fn lose(&mut self, host: SocketAddr) {
        self.connection = None;
        self.finder.lose(host);
    }
}

async fn open(host: SocketAddr) -> Option<WsClient> {
    let builder = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(REPLY_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES);
    builder.build(format!("ws://{host}")).await.ok()
}

fn single_result(body: ControlReplyBody) -> Result<CommandResult, ControlFailure> {
    match body {
        ControlReplyBody::Results(mut results) if results.len() == 1 => Ok(results.remove(0)),
        _ => Err(ControlFailure::Unknown),
    }
}

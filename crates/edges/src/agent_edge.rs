//! The RPC server of an agent, for entries.
//!
//! Invariant: a call that ends before its reply is reported to the start service
//! as dropped, unless that service's ring is full.

use jsonrpsee::core::{RpcResult, async_trait};
use kernel::{Registry, RingReceiver, RingSender};
use model::{
    AgentAnswer, AgentReply, AgentView, AgentWatch, CallId, RecallAnswer, RecallOrder, ServiceName,
    StartMessage, StartOrder, TaskQuery, TaskReport,
};

use crate::edge_runtime::{block_on, spawn_lasting};
use crate::listener_state::ListenerSettings;
use crate::peer_api::{AgentApiServer, not_accepted};
use crate::peer_listener::accept_peers;
use crate::pending_calls::PendingCalls;

/// Maximum number of connected entries.
const MAX_CONNECTIONS: u32 = 1_024;

/// Forwards entries' calls to the start service.
struct AgentHandler {
    calls: PendingCalls<AgentAnswer>,
    replies: RingSender<AgentReply>,
    starts: RingSender<StartMessage>,
}

/// Notifies the start service when a call is dropped before its reply, since its
/// entry disconnected.
struct DropGuard {
    call: CallId,
    starts: RingSender<StartMessage>,
    answered: bool,
}

impl Drop for DropGuard {
    fn drop(&mut self) {
        if !self.answered {
            // If the ring is full, the call stays in the table until its task ends.
            let _full = self.starts.push(StartMessage::CallDropped { call: self.call });
        }
    }
}

impl AgentHandler {
    /// Sends a message to the start service and waits for the reply.
    async fn request(
        &self,
        message: impl FnOnce(CallId, kernel::Reservation<AgentReply>) -> StartMessage,
    ) -> RpcResult<AgentAnswer> {
        let open = self.calls.open();
        let call = open.call;
        let reply = self.replies.reserve().ok_or_else(not_accepted)?;
        self.starts.push(message(call, reply)).map_err(|_| not_accepted())?;
        let mut guard = DropGuard { call, starts: self.starts.clone(), answered: false };
        let answer = open.wait().await;
        guard.answered = true;
        answer.ok_or_else(agent_stopped)
    }
}

/// The error for calls that are open when the process stops; the outcome of what
/// they started is unknown to the caller.
fn agent_stopped() -> jsonrpsee::types::ErrorObjectOwned {
    jsonrpsee::types::ErrorObjectOwned::owned(STOPPED_CODE, "the agent stopped", None::<()>)
}

/// JSON-RPC error code: the agent has no reply, and the outcome is unknown.
const STOPPED_CODE: i32 = -32_051;

fn unexpected_reply() -> jsonrpsee::types::ErrorObjectOwned {
    jsonrpsee::types::ErrorObjectOwned::owned(
        STOPPED_CODE,
        "the agent sent a reply of another kind",
        None::<()>,
    )
}

#[async_trait]
impl AgentApiServer for AgentHandler {
    async fn start(&self, order: StartOrder) -> RpcResult<TaskReport> {
        let order = Box::new(order);
        match self.request(|call, reply| StartMessage::Order { call, order, reply }).await? {
            AgentAnswer::Report(report) => Ok(report),
            _ => Err(unexpected_reply()),
        }
    }

    async fn attach(&self, query: TaskQuery) -> RpcResult<TaskReport> {
        match self.request(|call, reply| StartMessage::Attach { call, query, reply }).await? {
            AgentAnswer::Report(report) => Ok(report),
            _ => Err(unexpected_reply()),
        }
    }

    async fn recall(&self, order: RecallOrder) -> RpcResult<RecallAnswer> {
        match self.request(|call, reply| StartMessage::Recall { call, order, reply }).await? {
            AgentAnswer::Statuses(answer) => Ok(answer),
            _ => Err(unexpected_reply()),
        }
    }

    async fn watch(&self, watch: AgentWatch) -> RpcResult<AgentView> {
        match self.request(|call, reply| StartMessage::Watch { call, watch, reply }).await? {
            AgentAnswer::View(view) => Ok(view),
            _ => Err(unexpected_reply()),
        }
    }
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the start service is not registered, or the listener is not usable.
pub fn run(
    ring: &RingReceiver<AgentReply>,
    registry: &Registry<ServiceName>,
    listener: std::net::TcpListener,
    settings: ListenerSettings,
) {
    let replies = registry.find(ServiceName::AgentEdge).expect("the agent edge is registered");
    let starts = registry.find(ServiceName::TaskStarts).expect("task starts is registered");
    let calls = PendingCalls::default();
    let handler = AgentHandler { calls: calls.clone(), replies, starts };
    block_on(async move {
        let methods = handler.into_rpc().into();
        spawn_lasting(accept_peers(listener, settings, methods, MAX_CONNECTIONS, None));
        while let Some(reply) = ring.next().await {
            calls.complete(reply.call, reply.answer);
        }
        tokio::time::sleep(FLUSH_TIME).await;
    });
}

/// Time for replies that are already written to reach their callers.
const FLUSH_TIME: std::time::Duration = std::time::Duration::from_millis(200);

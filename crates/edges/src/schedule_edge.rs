//! The RPC server of an entry for the agents that it schedules jobs on.

use jsonrpsee::core::{RpcResult, async_trait};
use kernel::{Registry, Reservation, RingReceiver, RingSender};
use model::{
    AgentPoll, AgentReport, CallId, ControlReply, ControlReplyBody, SchedulingMessage, ServiceName,
};

use crate::edge_runtime::block_on;
use crate::peer_api::{ScheduleApiServer, not_accepted, start_server};
use crate::pending_calls::PendingCalls;

/// Maximum number of connected agents.
const MAX_CONNECTIONS: u32 = 4_096;

/// Forwards agents' calls to the scheduling duty of this process.
pub(crate) struct ScheduleHandler {
    pub(crate) calls: PendingCalls<ControlReplyBody>,
    pub(crate) replies: RingSender<ControlReply>,
    pub(crate) scheduling: RingSender<SchedulingMessage>,
}

impl ScheduleHandler {
    /// Sends a message to the scheduling duty and waits for the reply. The reply
    /// slot is reserved first, so that a message that is sent can be answered.
    pub(crate) async fn request(
        &self,
        message: impl FnOnce(CallId, Reservation<ControlReply>) -> SchedulingMessage,
    ) -> RpcResult<ControlReplyBody> {
        let open = self.calls.open();
        let reply = self.replies.reserve().ok_or_else(not_accepted)?;
        if self.scheduling.push(message(open.call, reply)).is_err() {
            return Err(not_accepted());
        }
        Ok(open.wait().await.unwrap_or(ControlReplyBody::Unknown))
    }
}

#[async_trait]
impl ScheduleApiServer for ScheduleHandler {
    async fn report(&self, report: AgentReport) -> RpcResult<ControlReplyBody> {
        let report = Box::new(report);
        self.request(|call, reply| SchedulingMessage::Report { call, report, reply }).await
    }

    async fn poll(&self, poll: AgentPoll) -> RpcResult<ControlReplyBody> {
        self.request(|call, reply| SchedulingMessage::Poll { call, poll, reply }).await
    }
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When the scheduling duty is not registered, or the listener is not usable.
pub fn run(
    ring: &RingReceiver<ControlReply>,
    registry: &Registry<ServiceName>,
    listener: std::net::TcpListener,
) {
    let calls = PendingCalls::default();
    let handler = ScheduleHandler {
        calls: calls.clone(),
        replies: registry.find(ServiceName::ScheduleEdge).expect("the schedule edge is registered"),
        scheduling: registry.find(ServiceName::JobScheduling).expect("scheduling is registered"),
    };
    block_on(async move {
        let handle = start_server(listener, MAX_CONNECTIONS, handler.into_rpc());
        while let Some(reply) = ring.next().await {
            calls.complete(reply.call, reply.body);
        }
        // The error means that the server has stopped already.
        let _stopped = handle.stop();
    });
}

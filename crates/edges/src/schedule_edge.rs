//! The RPC server of an entry for the agents that it schedules on.

use jsonrpsee::core::{RpcResult, async_trait};
use kernel::{Registry, Reservation, RingReceiver, RingSender};
use model::{
    AgentPoll, AgentReport, CallId, ControlReply, ControlReplyBody, SchedulingMessage, ServiceName,
};

use crate::call_book::CallBook;
use crate::edge_runtime::block_on;
use crate::peer_api::{ScheduleApiServer, not_taken, start_server};

/// Agents that may be connected at a time.
const MOST_CONNECTIONS: u32 = 4_096;

/// Hands agents' calls to the scheduling duty of this process.
pub(crate) struct ScheduleDesk {
    pub(crate) calls: CallBook<ControlReplyBody>,
    pub(crate) own: RingSender<ControlReply>,
    pub(crate) scheduling: RingSender<SchedulingMessage>,
}

impl ScheduleDesk {
    pub(crate) async fn ask(
        &self,
        message: impl FnOnce(CallId, Reservation<ControlReply>) -> SchedulingMessage,
    ) -> RpcResult<ControlReplyBody> {
        let open = self.calls.open();
        let reply = self.own.reserve().ok_or_else(not_taken)?;
        if self.scheduling.push(message(open.call, reply)).is_err() {
            return Err(not_taken());
        }
        Ok(open.wait().await.unwrap_or(ControlReplyBody::Unknown))
    }
}

#[async_trait]
impl ScheduleApiServer for ScheduleDesk {
    async fn report(&self, report: AgentReport) -> RpcResult<ControlReplyBody> {
        let report = Box::new(report);
        self.ask(|call, reply| SchedulingMessage::Report { call, report, reply }).await
    }

    async fn poll(&self, poll: AgentPoll) -> RpcResult<ControlReplyBody> {
        self.ask(|call, reply| SchedulingMessage::Poll { call, poll, reply }).await
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
    let calls = CallBook::default();
    let desk = ScheduleDesk {
        calls: calls.clone(),
        own: registry.find(ServiceName::ScheduleEdge).expect("the schedule edge is registered"),
        scheduling: registry.find(ServiceName::JobScheduling).expect("scheduling is registered"),
    };
    block_on(async move {
        let handle = start_server(listener, MOST_CONNECTIONS, desk.into_rpc());
        while let Some(reply) = ring.next().await {
            calls.answer(reply.call, reply.body);
        }
        // A server that is stopped already needs no stopping.
        let _stopped = handle.stop();
    });
}

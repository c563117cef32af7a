//! The RPC server of a control host.

use jsonrpsee::core::{RpcResult, async_trait};
use kernel::{Registry, Reservation, RingReceiver, RingSender};
use model::{
    AgentPoll, AgentReport, CallId, Command, ConfigVersion, ControlQuery, ControlReply,
    ControlReplyBody, JobCall, LogMessage, MembershipMessage, NodeWatch, ReplicaEnvelope,
    SchedulingMessage, ServiceName,
};

use crate::call_book::CallBook;
use crate::edge_runtime::block_on;
use crate::peer_api::{ControlApiServer, not_taken, start_server};

/// Nodes, operators and replicas that may be connected at a time.
const MOST_CONNECTIONS: u32 = 4_096;

struct ControlDesk {
    calls: CallBook<ControlReplyBody>,
    own: RingSender<ControlReply>,
    replicated: RingSender<LogMessage>,
    membership: RingSender<MembershipMessage>,
    scheduling: RingSender<SchedulingMessage>,
}

impl ControlDesk {
    async fn ask(
        &self,
        send: impl FnOnce(CallId, Reservation<ControlReply>) -> bool,
    ) -> RpcResult<ControlReplyBody> {
        let open = self.calls.open();
        let reply = self.own.reserve().ok_or_else(not_taken)?;
        if !send(open.call, reply) {
            return Err(not_taken());
        }
        Ok(open.wait().await.unwrap_or(ControlReplyBody::Unknown))
    }
}

impl ControlDesk {
    async fn ask_scheduling(
        &self,
        message: impl FnOnce(CallId, Reservation<ControlReply>) -> SchedulingMessage,
    ) -> RpcResult<ControlReplyBody> {
        self.ask(|call, reply| self.scheduling.push(message(call, reply)).is_ok()).await
    }
}

#[async_trait]
impl ControlApiServer for ControlDesk {
    async fn watch(&self, watch: NodeWatch) -> RpcResult<ControlReplyBody> {
        let watch = Box::new(watch);
        let send = |call, reply| {
            self.membership.push(MembershipMessage::Watch { call, watch, reply }).is_ok()
        };
        self.ask(send).await
    }

    async fn propose(&self, commands: Vec<Command>) -> RpcResult<ControlReplyBody> {
        let send = |call, reply| {
            self.replicated.push(LogMessage::Propose { call, commands, reply }).is_ok()
        };
        self.ask(send).await
    }

    async fn query(&self, query: ControlQuery) -> RpcResult<ControlReplyBody> {
        let send =
            |call, reply| self.replicated.push(LogMessage::Query { call, query, reply }).is_ok();
        self.ask(send).await
    }

    async fn job(&self, job: JobCall) -> RpcResult<ControlReplyBody> {
        self.ask_scheduling(|call, reply| SchedulingMessage::Job { call, job, reply }).await
    }

    async fn report(&self, report: AgentReport) -> RpcResult<ControlReplyBody> {
        let report = Box::new(report);
        self.ask_scheduling(|call, reply| SchedulingMessage::Report { call, report, reply }).await
    }

    async fn poll(&self, poll: AgentPoll) -> RpcResult<ControlReplyBody> {
        self.ask_scheduling(|call, reply| SchedulingMessage::Poll { call, poll, reply }).await
    }

    async fn catalog(&self, version: ConfigVersion) -> RpcResult<ControlReplyBody> {
        let message =
            |call, reply| SchedulingMessage::CatalogWatch { call, version, reply };
        self.ask_scheduling(message).await
    }

    async fn replica(&self, envelope: ReplicaEnvelope) -> RpcResult<ControlReplyBody> {
        let envelope = Box::new(envelope);
        let send = |call, reply| {
            self.replicated.push(LogMessage::Replica { call, envelope, reply }).is_ok()
        };
        self.ask(send).await
    }
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When a service that it needs is not registered, or the listener is not
/// usable.
pub fn run(
    ring: &RingReceiver<ControlReply>,
    registry: &Registry<ServiceName>,
    listener: std::net::TcpListener,
) {
    let calls = CallBook::default();
    let desk = ControlDesk {
        calls: calls.clone(),
        own: registry.find(ServiceName::ControlEdge).expect("the control edge is registered"),
        replicated: registry.find(ServiceName::ReplicatedLog).expect("the log is registered"),
        membership: registry.find(ServiceName::Membership).expect("membership is registered"),
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

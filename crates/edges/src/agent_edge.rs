//! The RPC server of an agent.

use jsonrpsee::core::{RpcResult, async_trait};
use kernel::{Registry, RingReceiver, RingSender};
use model::{
    AgentAnswer, AgentReply, AgentView, AgentWatch, CallId, RecallAnswer, RecallOrder, ServiceName,
    StartMessage, StartOrder, TaskQuestion, TaskReport,
};

use crate::call_book::CallBook;
use crate::edge_runtime::block_on;
use crate::peer_api::{AgentApiServer, not_taken, start_server};

/// Entries that may be connected at a time.
const MOST_CONNECTIONS: u32 = 1_024;

struct AgentDesk {
    calls: CallBook<AgentAnswer>,
    own: RingSender<AgentReply>,
    starts: RingSender<StartMessage>,
}

/// Tells the start service when a caller goes away before its answer.
struct DropNotice {
    call: CallId,
    starts: RingSender<StartMessage>,
    answered: bool,
}

impl Drop for DropNotice {
    fn drop(&mut self) {
        if !self.answered {
            // Without room the call stays in the table until its task ends.
            let _full = self.starts.push(StartMessage::CallDropped { call: self.call });
        }
    }
}

impl AgentDesk {
    async fn ask(
        &self,
        message: impl FnOnce(CallId, kernel::Reservation<AgentReply>) -> StartMessage,
    ) -> RpcResult<AgentAnswer> {
        let open = self.calls.open();
        let call = open.call;
        let reply = self.own.reserve().ok_or_else(not_taken)?;
        self.starts.push(message(call, reply)).map_err(|_| not_taken())?;
        let mut notice = DropNotice { call, starts: self.starts.clone(), answered: false };
        let answer = open.wait().await;
        notice.answered = true;
        answer.ok_or_else(not_taken_any_more)
    }
}

/// The process stops; what it started is not known to the caller.
fn not_taken_any_more() -> jsonrpsee::types::ErrorObjectOwned {
    jsonrpsee::types::ErrorObjectOwned::owned(STOPPED, "the agent stopped", None::<()>)
}

const STOPPED: i32 = -32_051;

fn wrong_answer() -> jsonrpsee::types::ErrorObjectOwned {
    jsonrpsee::types::ErrorObjectOwned::owned(STOPPED, "the agent gave another answer", None::<()>)
}

#[async_trait]
impl AgentApiServer for AgentDesk {
    async fn start(&self, order: StartOrder) -> RpcResult<TaskReport> {
        let order = Box::new(order);
        match self.ask(|call, reply| StartMessage::Order { call, order, reply }).await? {
            AgentAnswer::Report(report) => Ok(report),
            _ => Err(wrong_answer()),
        }
    }

    async fn attach(&self, question: TaskQuestion) -> RpcResult<TaskReport> {
        match self.ask(|call, reply| StartMessage::Attach { call, question, reply }).await? {
            AgentAnswer::Report(report) => Ok(report),
            _ => Err(wrong_answer()),
        }
    }

    async fn recall(&self, order: RecallOrder) -> RpcResult<RecallAnswer> {
        match self.ask(|call, reply| StartMessage::Recall { call, order, reply }).await? {
            AgentAnswer::Fates(answer) => Ok(answer),
            _ => Err(wrong_answer()),
        }
    }

    async fn watch(&self, watch: AgentWatch) -> RpcResult<AgentView> {
        match self.ask(|call, reply| StartMessage::Watch { call, watch, reply }).await? {
            AgentAnswer::View(view) => Ok(view),
            _ => Err(wrong_answer()),
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
) {
    let own = registry.find(ServiceName::AgentEdge).expect("the agent edge is registered");
    let starts = registry.find(ServiceName::TaskStarts).expect("task starts is registered");
    let calls = CallBook::default();
    let desk = AgentDesk { calls: calls.clone(), own, starts };
    block_on(async move {
        let handle = start_server(listener, MOST_CONNECTIONS, desk.into_rpc());
        while let Some(reply) = ring.next().await {
            calls.answer(reply.call, reply.answer);
        }
        // A server that is stopped already needs no stopping.
        let _stopped = handle.stop();
        let _ended = tokio::time::timeout(LAST_ANSWERS, handle.stopped()).await;
    });
}

/// Time for answers that are already written to reach their callers.
const LAST_ANSWERS: std::time::Duration = std::time::Duration::from_millis(200);

//! A control host's connection to a replica that falls silent without being closed, as after
//! a loss of power there: later messages go on a new connection.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use edges::ControlApiServer;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::Server;
use kernel::{Kernel, RingSender};
use model::{
    CatalogQuery, Command, ControlPeer, ControlQuery, ControlReplyBody, JobCall, LogMessage,
    NodeId, NodeWatch, ProcessCounters, ReplicaEnvelope, ReplicaLinkMessage, ReplicaMessage,
    ServiceName,
};
use standin::{FaultyLink, LinkFault, StandinHost};

/// Interval between the messages to the replica.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Messages without an answer after which the test fails: 3 s.
const MAX_UNANSWERED: usize = 60;

/// A replica that answers each message with itself.
struct EchoReplica;

#[async_trait]
impl ControlApiServer for EchoReplica {
    async fn watch(&self, _watch: NodeWatch) -> RpcResult<ControlReplyBody> {
        Ok(ControlReplyBody::Unknown)
    }

    async fn propose(&self, _commands: Vec<Command>) -> RpcResult<ControlReplyBody> {
        Ok(ControlReplyBody::Unknown)
    }

    async fn query(&self, _query: ControlQuery) -> RpcResult<ControlReplyBody> {
        Ok(ControlReplyBody::Unknown)
    }

    async fn job(&self, _job: JobCall) -> RpcResult<ControlReplyBody> {
        Ok(ControlReplyBody::Unknown)
    }

    async fn catalog(&self, _question: CatalogQuery) -> RpcResult<ControlReplyBody> {
        Ok(ControlReplyBody::Unknown)
    }

    async fn replica(&self, envelope: ReplicaEnvelope) -> RpcResult<ControlReplyBody> {
        Ok(ControlReplyBody::Replica(Some(Box::new(envelope))))
    }
}

/// Starts the duty with a ring in place of the replicated log, whose messages are returned.
fn start_links(kernel: &mut Kernel<ServiceName>) -> (RingSender<ReplicaLinkMessage>, Receiver<()>) {
    let (answers, received) = channel();
    kernel
        .register::<LogMessage, _>(ServiceName::ReplicatedLog, 64, move |ring, _registry| {
            while let kernel::PopResult::Message(message) = ring.pop(None) {
                if matches!(message, LogMessage::ReplicaAnswer { .. }) {
                    let _ended = answers.send(());
                }
            }
        })
        .expect("a free name");
    kernel
        .register(ServiceName::ReplicaLinks, 64, move |ring, registry| {
            let own_name = NodeId::from("own");
            edges::replica_links::run(&ring, &registry, &own_name, &ProcessCounters::default());
        })
        .expect("a free name");
    let registry = kernel.start().expect("threads start");
    (registry.find(ServiceName::ReplicaLinks).expect("the links are registered"), received)
}

/// Sends messages until one is answered.
fn is_answered(links: &RingSender<ReplicaLinkMessage>, answers: &Receiver<()>) -> bool {
    while answers.try_recv().is_ok() {}
    (0..MAX_UNANSWERED).any(|_| {
        let message = ReplicaMessage::Hello { fresh: false, wants_reply: true };
        let envelope = ReplicaEnvelope { from: "own".into(), term: 1, boot: 1, message };
        let to = "other".into();
        links
            .push(ReplicaLinkMessage::Send { to, envelope: Box::new(envelope) })
            .expect("a free slot");
        answers.recv_timeout(SEND_INTERVAL).is_ok()
    })
}

/// A replica that came back after a loss of power heard nothing of the leader for 6 s, since
/// its old connection counted as open; the leader removed it from the group.
#[test]
fn silent_connection_replaced() {
    let host = StandinHost::start().expect("runtime starts");
    let (link, _server) = host.block_on(async {
        let link = FaultyLink::open().await.expect("a free port");
        let server = Server::builder().build("127.0.0.1:0").await.expect("a free port");
        let address: SocketAddr = server.local_addr().expect("a bound address");
        link.set_target(address);
        (link, server.start(EchoReplica.into_rpc()))
    });
    let mut kernel = Kernel::default();
    let (links, answers) = start_links(&mut kernel);
    let group = vec![ControlPeer { name: "other".into(), address: link.address() }];
    links.push(ReplicaLinkMessage::Group { group }).expect("a free slot");
    assert!(is_answered(&links, &answers));
    link.set(LinkFault::SilenceOpen);
    assert!(is_answered(&links, &answers));
    kernel.stop();
}

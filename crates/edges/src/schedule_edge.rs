//! The duty that serves the streams of agents to the scheduler of this process.
//!
//! Invariants:
//! - messages of one agent are forwarded in their order, and none is dropped while
//!   its connection is open;
//! - a connection whose agent does not read is closed, so that no order is dropped
//!   silently.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kernel::{PushError, Registry, RingReceiver, RingSender};
use model::{
    EventLine, EventLog, LinkId, NumberedMessage, ScheduleEdgeMessage, SchedulerMessage,
    SchedulingMessage, ServiceName,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::agent_stream::{
    AGENT_PREAMBLE, StreamError, StreamReader, StreamWriter, read_first_message, read_preamble,
    split,
};
use crate::edge_runtime::{block_on, spawn_lasting};
use crate::listener_state::ListenerSettings;
use crate::peer_connection::accept;
use crate::peer_gate::{PeerGate, PeerTicket};

/// Messages that may wait for one agent's connection.
const LINK_QUEUE_CAPACITY: usize = 64;
/// Time without a message after which an agent's connection is closed; agents send
/// heartbeats much more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a message is pushed again to a full ring.
const FULL_RING_DELAY: Duration = Duration::from_millis(5);

/// Runs the duty until its ring is closed. `listener` is that of an entry, with its settings;
/// control shares one with its other peers and hands connections over. At most `max_links`
/// agents are connected.
///
/// # Panics
/// When the scheduling duty is not registered, or the listener is not usable.
pub fn run(
    ring: &RingReceiver<ScheduleEdgeMessage>,
    registry: &Registry<ServiceName>,
    log: EventLog,
    listener: Option<(std::net::TcpListener, ListenerSettings)>,
    max_links: usize,
) {
    let scheduling =
        registry.find(ServiceName::JobScheduling).expect("the scheduling duty is registered");
    let server = Rc::new(StreamServer {
        scheduling,
        log,
        links: RefCell::default(),
        max_links,
        last_link: Cell::new(0),
    });
    block_on(async move {
        if let Some((listener, settings)) = listener {
            let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
            let gate = PeerGate::new(settings);
            spawn_lasting(gate.clone().run_checks());
            spawn_lasting(Rc::clone(&server).accept(listener, gate));
        }
        while let Some(message) = ring.next().await {
            match message {
                ScheduleEdgeMessage::Connected { stream, first } => server.adopt(stream, *first),
                ScheduleEdgeMessage::Send { link, message } => server.send(link, message),
            }
        }
    });
}

/// State that the tasks of all connections share.
struct StreamServer {
    scheduling: RingSender<SchedulingMessage>,
    log: EventLog,
    /// Queues of the messages to each connected agent.
    links: RefCell<IndexMap<LinkId, mpsc::Sender<SchedulerMessage>>>,
    max_links: usize,
    last_link: Cell<LinkId>,
}

impl StreamServer {
    /// Accepts connections of agents.
    async fn accept(self: Rc<Self>, listener: TcpListener, gate: PeerGate) {
        loop {
            let stream = accept(&listener).await;
            if let Some(ticket) = gate.admit() {
                tokio::task::spawn_local(Rc::clone(&self).serve_new(stream, ticket));
            }
        }
    }

    /// Serves a connection once its first message shows that it is an agent's.
    async fn serve_new(self: Rc<Self>, mut stream: TcpStream, ticket: Arc<PeerTicket>) {
        let first = tokio::select! {
            first = read_first(&mut stream, &ticket) => first,
            () = ticket.closed() => return,
        };
        drop(ticket);
        if let Some(first) = first {
            self.serve(stream, first).await;
        }
    }

    /// Serves a connection that another duty has accepted.
    fn adopt(self: &Rc<Self>, stream: std::net::TcpStream, first: NumberedMessage) {
        match TcpStream::from_std(stream) {
            Ok(stream) => {
                tokio::task::spawn_local(Rc::clone(self).serve(stream, first));
            }
            Err(error) => self.log.warn(EventLine::new("agent_refused").with("reason", error)),
        }
    }

    /// Serves a connection until it ends.
    async fn serve(self: Rc<Self>, stream: TcpStream, first: NumberedMessage) {
        if self.links.borrow().len() >= self.max_links || stream.set_nodelay(true).is_err() {
            return self.log.warn(EventLine::new("agent_refused").with("reason", "links"));
        }
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let (sender, outgoing) = mpsc::channel(LINK_QUEUE_CAPACITY);
        self.links.borrow_mut().insert(link, sender);
        let (reader, writer) = split(stream);
        self.forward(SchedulingMessage::Agent { link, message: first }).await;
        let ended = tokio::select! {
            error = self.forward_messages(link, reader) => Err(error),
            ended = send_messages(writer, outgoing) => ended,
        };
        self.links.borrow_mut().swap_remove(&link);
        if let Err(error) = ended {
            let line = EventLine::new("agent_link_lost").with("link", link).with("reason", error);
            self.log.info(line);
        }
        self.forward(SchedulingMessage::LinkLost { link }).await;
    }

    /// Forwards an agent's messages until the stream ends.
    async fn forward_messages(&self, link: LinkId, mut reader: StreamReader) -> StreamError {
        loop {
            match reader.next_from_agent(SILENCE_TIMEOUT).await {
                Ok(message) => self.forward(SchedulingMessage::Agent { link, message }).await,
                Err(error) => return error,
            }
        }
    }

    /// Pushes a message to the scheduling duty, as soon as its ring has a free slot.
    async fn forward(&self, mut message: SchedulingMessage) {
        while let Err(PushError::Full { message: rejected }) = self.scheduling.push(message) {
            message = rejected;
            tokio::time::sleep(FULL_RING_DELAY).await;
        }
    }

    /// Queues a message to an agent. A full queue closes the connection.
    fn send(&self, link: LinkId, message: SchedulerMessage) {
        let mut links = self.links.borrow_mut();
        let sent = links.get(&link).is_some_and(|queue| queue.try_send(message).is_ok());
        if !sent && links.swap_remove(&link).is_some() {
            self.log.warn(EventLine::new("agent_stalled").with("link", link));
        }
    }
}

/// Reads the preamble and the first message of an agent; `None` if they are not valid.
async fn read_first(stream: &mut TcpStream, ticket: &PeerTicket) -> Option<NumberedMessage> {
    match read_preamble(stream, ticket).await? {
        AGENT_PREAMBLE => read_first_message(stream, ticket).await.ok(),
        _ => None,
    }
}

/// Sends the queued messages, all that wait at a time, until the queue or the session
/// is closed.
async fn send_messages(
    mut writer: StreamWriter,
    mut outgoing: mpsc::Receiver<SchedulerMessage>,
) -> Result<(), StreamError> {
    let mut messages = Vec::new();
    while outgoing.recv_many(&mut messages, LINK_QUEUE_CAPACITY).await > 0 {
        let mut closes = false;
        for message in messages.drain(..) {
            closes |= matches!(message, SchedulerMessage::Closed(_));
            writer.append(&message)?;
        }
        writer.flush().await?;
        if closes {
            return Ok(());
        }
    }
    Ok(())
}

//! Owns the encoding of the streams between agents and schedulers: a preamble of one
//! byte from the agent, then frames of JSON in both directions, each with its length
//! before it.
//!
//! JSON-RPC is not used here: an entry exchanges more messages with agents than all
//! other peers do, and none of them needs an answer of its own.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use model::{NumberedMessage, SchedulerMessage};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::bytes::{Bytes, BytesMut};
use tokio_util::codec::{Encoder, FramedRead, LengthDelimitedCodec};

use crate::peer_connection::{CONNECT_TIMEOUT, open_stream};
use crate::peer_gate::PeerTicket;

/// First byte of an agent's stream. A connection for JSON-RPC begins with a letter.
pub(crate) const AGENT_PREAMBLE: u8 = 0xA1;
/// Largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Size of the parts in which a first message is read.
const FIRST_READ_BYTES: usize = 16 * 1024;
/// How long the peer may take to accept a frame.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a new connection may take to send its first byte.
const PREAMBLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a stream ended.
#[derive(Debug, Snafu)]
pub(crate) enum StreamError {
    /// The peer closed the stream.
    #[snafu(display("closed by the peer"))]
    Closed,
    /// No message arrived in time.
    #[snafu(display("no message in time"))]
    Silent,
    /// The peer did not accept a frame in time.
    #[snafu(display("a frame was not accepted in time"))]
    NotAccepted,
    /// The connection failed, or a frame is too large.
    #[snafu(display("connection failed: {source}"))]
    Connection {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The first frame is too large, or too much is held of others.
    #[snafu(display("no room for the first message"))]
    NoRoom,
    /// A frame has no valid content.
    #[snafu(display("cannot decode a message: {source}"))]
    Malformed {
        /// The decoding error, with its line and column.
        source: serde_json::Error,
    },
}

/// The receiving half of a stream.
pub(crate) struct StreamReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

/// The sending half of a stream.
pub(crate) struct StreamWriter {
    half: OwnedWriteHalf,
    codec: LengthDelimitedCodec,
    /// Encoded frames that are not sent yet.
    buffer: BytesMut,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Splits a connection whose preamble was sent or read.
pub(crate) fn split(stream: TcpStream) -> (StreamReader, StreamWriter) {
    let (read_half, write_half) = stream.into_split();
    let reader = StreamReader { frames: FramedRead::new(read_half, codec()) };
    let writer = StreamWriter { half: write_half, codec: codec(), buffer: BytesMut::new() };
    (reader, writer)
}

/// Connects an agent to a scheduler; `None` when it can't be reached in time.
pub(crate) async fn connect(address: SocketAddr) -> Option<(StreamReader, StreamWriter)> {
    tokio::time::timeout(CONNECT_TIMEOUT, open(address)).await.ok()?
}

async fn open(address: SocketAddr) -> Option<(StreamReader, StreamWriter)> {
    let mut stream = open_stream(address).await?;
    stream.set_nodelay(true).ok()?;
    stream.write_u8(AGENT_PREAMBLE).await.ok()?;
    Some(split(stream))
}

/// Reads the first byte of a new connection; `None` if it doesn't come in time. It begins the
/// time for the first message, which an agent that has just started sends some seconds later.
pub(crate) async fn read_preamble(stream: &mut TcpStream, ticket: &PeerTicket) -> Option<u8> {
    let preamble = tokio::time::timeout(PREAMBLE_TIMEOUT, stream.read_u8()).await.ok()?.ok()?;
    ticket.on_bytes(1, 1).then_some(preamble)
}

/// Reads the first message of an agent's stream, after the preamble. Each of its bytes needs
/// room among the connections that are not known.
///
/// # Errors
/// The stream has ended, its content is invalid, or there is no room.
pub(crate) async fn read_first_message(
    stream: &mut TcpStream,
    ticket: &PeerTicket,
) -> Result<NumberedMessage, StreamError> {
    let length = stream.read_u32().await.context(ConnectionSnafu)? as usize;
    snafu::ensure!(length <= MAX_FRAME_BYTES, NoRoomSnafu);
    let mut frame = Vec::new();
    while frame.len() < length {
        let part = FIRST_READ_BYTES.min(length - frame.len());
        snafu::ensure!(ticket.on_bytes(part, part as u64), NoRoomSnafu);
        let start = frame.len();
        frame.resize(start + part, 0);
        stream.read_exact(&mut frame[start..]).await.context(ConnectionSnafu)?;
    }
    decode(&frame)
}

impl StreamReader {
    /// Waits for the next message of a scheduler.
    ///
    /// # Errors
    /// The stream has ended, or its content is invalid.
    pub(crate) async fn next_from_scheduler(&mut self) -> Result<SchedulerMessage, StreamError> {
        decode(&self.next_frame().await?)
    }

    /// Waits for the next message of an agent, at most for `timeout`.
    ///
    /// # Errors
    /// The stream has ended, its content is invalid, or the agent is silent.
    pub(crate) async fn next_from_agent(
        &mut self,
        timeout: Duration,
    ) -> Result<NumberedMessage, StreamError> {
        let frame = tokio::time::timeout(timeout, self.next_frame()).await;
        decode(&frame.map_err(|_elapsed| StreamError::Silent)??)
    }

    async fn next_frame(&mut self) -> Result<BytesMut, StreamError> {
        self.frames.next().await.context(ClosedSnafu)?.context(ConnectionSnafu)
    }
}

impl StreamWriter {
    /// Appends a message to those that the next [`StreamWriter::flush`] sends.
    ///
    /// # Errors
    /// The message can't be encoded, or is too large.
    pub(crate) fn append(&mut self, message: &impl Serialize) -> Result<(), StreamError> {
        let frame = serde_json::to_vec(message).context(MalformedSnafu)?;
        self.codec.encode(Bytes::from(frame), &mut self.buffer).context(ConnectionSnafu)
    }

    /// Sends all appended messages.
    ///
    /// # Errors
    /// The connection failed, or the peer does not accept them in time.
    pub(crate) async fn flush(&mut self) -> Result<(), StreamError> {
        let writing = self.half.write_all_buf(&mut self.buffer);
        let written = tokio::time::timeout(WRITE_TIMEOUT, writing).await;
        written.map_err(|_elapsed| StreamError::NotAccepted)?.context(ConnectionSnafu)
    }
}

fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M, StreamError> {
    serde_json::from_slice(frame).context(MalformedSnafu)
}

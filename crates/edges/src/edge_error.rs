//! Owns the errors of starting an edge.

use std::net::SocketAddr;

use snafu::Snafu;

/// Error of starting an edge.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EdgeError {
    /// A listener could not be bound.
    #[snafu(display("can't listen on {address}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The log can't be opened.
    #[snafu(display("can't open the log: {reason}"))]
    Log {
        /// Error of the file or of the configuration of the log.
        reason: String,
    },
}

//! Owns what can go wrong when an edge starts.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why an edge could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EdgeError {
    /// The address can't be listened on.
    #[snafu(display("can't listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The refusal.
        source: std::io::Error,
    },
    /// The log can't be opened.
    #[snafu(display("can't open the log: {reason}"))]
    Log {
        /// What was said.
        reason: String,
    },
}

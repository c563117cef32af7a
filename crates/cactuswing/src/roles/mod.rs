//! Which services make a role, and the order in which they start.
//!
//! Invariant: a role is stopped in the reverse order of its start, the server
//! that lets work in first.

mod agent;
mod control;
mod entry;
mod queue_entry;
mod server_agent;

pub use agent::start_agent;
pub use control::start_control;
pub use entry::start_entry;

use std::net::SocketAddr;
use std::time::Duration;

use edges::EdgeError;
use edges::control_link::ControlLink;
use kernel::{DrainGate, Kernel, KernelError, SharedClock, StopSignal};
use model::{LogLine, ProcessCounters, ServiceName};
use services::ServiceContext;
use snafu::Snafu;

/// Log lines that may wait for the disk.
const LOG_RING: usize = 65_536;
/// Room of a ring between duties.
const DUTY_RING: usize = 65_536;

/// Why a role could not start.
#[derive(Debug, Snafu)]
pub enum RoleError {
    /// The services do not fit together.
    #[snafu(display("{source}"), context(false))]
    Kernel {
        /// What does not fit.
        source: KernelError,
    },
    /// An edge could not start.
    #[snafu(display("{source}: {}", cause(source)), context(false))]
    Edge {
        /// What happened.
        source: EdgeError,
    },
    /// The data folder can't be used.
    #[snafu(display("{reason}"))]
    Data {
        /// What happened.
        reason: String,
    },
}

fn cause(error: &EdgeError) -> String {
    std::error::Error::source(error).map(ToString::to_string).unwrap_or_default()
}

/// A role that runs.
pub struct RunningRole {
    kernel: Kernel<ServiceName>,
    /// Where callers or peers reach it.
    pub address: SocketAddr,
    /// Where backend servers announce themselves, for an agent.
    pub announce_address: Option<SocketAddr>,
    /// Its counters.
    pub counters: ProcessCounters,
    clock: SharedClock,
    stop: StopSignal,
    gate: DrainGate,
    drain_limit: Duration,
    /// How long peers may take to hear that this process drains; until then it
    /// goes on refusing what they send.
    linger: Duration,
    begin_drain: Box<dyn Fn() + Send>,
}

/// How a graceful shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainEnd {
    /// Nothing was in progress any more.
    Idle,
    /// The limit ended it.
    LimitReached,
}

impl RunningRole {
    /// Starts the graceful shutdown: readiness fails and new work is refused.
    pub fn begin_drain(&self) {
        self.stop.raise();
        (self.begin_drain)();
    }

    /// The gate at which a drain waits.
    pub fn gate(&self) -> DrainGate {
        self.gate.clone()
    }

    /// Lets what is in progress finish, then stops.
    pub fn drain(mut self) -> DrainEnd {
        self.begin_drain();
        let begun_at = self.clock.now();
        let idle = self.gate.wait_idle(begun_at + self.drain_limit);
        std::thread::sleep((begun_at + self.linger).saturating_duration_since(self.clock.now()));
        self.kernel.stop();
        if idle { DrainEnd::Idle } else { DrainEnd::LimitReached }
    }

    /// Stops without waiting for what is in progress.
    pub fn stop(mut self) {
        self.kernel.stop();
    }
}

/// What the assembly of every role begins with: the logging duty.
fn with_log(kernel: &mut Kernel<ServiceName>, clock: &SharedClock) -> Result<(), KernelError> {
    let clock = clock.clone();
    kernel.register::<LogLine, _>(ServiceName::LogWriter, LOG_RING, move |ring, _registry| {
        edges::log_writer::run(&ring, &clock);
    })
}

/// The connection to control, which entries and agents have.
fn with_control_link(
    kernel: &mut Kernel<ServiceName>,
    context: &ServiceContext,
    link: ControlLink,
) -> Result<(), KernelError> {
    let context = context.clone();
    kernel.register(ServiceName::ControlLink, DUTY_RING, move |ring, registry| {
        let log = context.event_log(&registry).expect("the log writer is registered");
        edges::control_link::run(&ring, &registry, link, log);
    })
}

fn context(clock: &SharedClock) -> ServiceContext {
    ServiceContext {
        clock: clock.clone(),
        counters: ProcessCounters::default(),
        gate: DrainGate::default(),
    }
}

fn local_address(
    listener: &std::net::TcpListener,
    asked: SocketAddr,
) -> Result<SocketAddr, EdgeError> {
    listener.local_addr().map_err(|source| EdgeError::Listen { address: asked, source })
}

/// A service that can't find what it needs is a mistake in the assembly.
fn assembled(result: Result<(), KernelError>) {
    if let Err(error) = result {
        panic!("the role's assembly is incomplete: {error}");
    }
}

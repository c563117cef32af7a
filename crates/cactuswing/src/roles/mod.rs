//! Assembles each role from its services and registers them in the order in
//! which they start.
//!
//! Invariant: a role's services stop in the reverse order of their start, the
//! server that accepts work first.

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

use decisions::connections::ListenerKind;
use edges::EdgeError;
use edges::control_link::ControlLink;
use edges::http_listener::ListenerSettings;
use kernel::{
    DrainGate, DutyFailure, Kernel, KernelError, Registry, RingReceiver, SharedClock, StopSignal,
};
use model::{LogLine, ProcessCounters, ProcessLimits, ServiceName};
use services::ServiceContext;
use snafu::Snafu;

/// Log lines that may wait to be written.
const LOG_RING_SLOTS: usize = 65_536;
/// Messages that may wait in the ring of a duty without a limit of its own.
const DUTY_RING_SLOTS: usize = 65_536;

/// Why a role could not be started.
#[derive(Debug, Snafu)]
pub enum RoleError {
    /// A service could not be registered, found or started.
    #[snafu(display("{source}"), context(false))]
    Kernel {
        /// The kernel's error.
        source: KernelError,
    },
    /// An edge could not be opened.
    #[snafu(display("{source}: {}", cause(source)), context(false))]
    Edge {
        /// The edge's error.
        source: EdgeError,
    },
    /// The data folder can't be opened or its content can't be read.
    #[snafu(display("{reason}"))]
    Data {
        /// The folder and the cause.
        reason: String,
    },
}

fn cause(error: &EdgeError) -> String {
    std::error::Error::source(error).map(ToString::to_string).unwrap_or_default()
}

/// A role whose services run. `drain` or `stop` ends it.
pub struct RunningRole {
    kernel: Kernel<ServiceName>,
    /// Where callers or peers connect.
    pub address: SocketAddr,
    /// Where backend servers announce themselves; agents only.
    pub announce_address: Option<SocketAddr>,
    /// Counters of the process.
    pub counters: ProcessCounters,
    clock: SharedClock,
    stop: StopSignal,
    gate: DrainGate,
    drain_limit: Duration,
    /// Minimum time from the start of a drain to the stop. In it the process can
    /// still refuse the orders of peers that have not learned of the drain.
    min_drain_time: Duration,
    begin_drain: Box<dyn Fn() + Send>,
}

/// How a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainEnd {
    /// All work in progress finished.
    Idle,
    /// The drain limit passed with work still in progress.
    LimitReached,
}

impl RunningRole {
    /// A role with nothing to drain: its state is in journals, or others take it over.
    pub fn without_drain(
        kernel: Kernel<ServiceName>,
        address: SocketAddr,
        context: ServiceContext,
    ) -> RunningRole {
        RunningRole {
            kernel,
            address,
            announce_address: None,
            counters: context.counters,
            clock: context.clock,
            stop: StopSignal::default(),
            gate: context.gate,
            drain_limit: Duration::ZERO,
            min_drain_time: Duration::ZERO,
            begin_drain: Box::new(|| {}),
        }
    }

    /// The ring of the first duty that ends without being asked to; `None` once it was
    /// taken.
    pub fn take_failures(&mut self) -> Option<RingReceiver<DutyFailure>> {
        self.kernel.take_failures()
    }

    /// Starts the drain: readiness checks fail and new work is refused.
    pub fn begin_drain(&self) {
        self.stop.raise();
        (self.begin_drain)();
    }

    /// The gate on which `drain` waits until no work is in progress. Setting it
    /// to 0 ends the wait early.
    pub fn gate(&self) -> DrainGate {
        self.gate.clone()
    }

    /// Drains until no work is in progress or the drain limit passes, then stops
    /// the services.
    pub fn drain(mut self) -> DrainEnd {
        self.begin_drain();
        let started_at = self.clock.now();
        let idle = self.gate.wait_idle(started_at + self.drain_limit);
        std::thread::sleep(
            (started_at + self.min_drain_time).saturating_duration_since(self.clock.now()),
        );
        self.kernel.stop();
        if idle { DrainEnd::Idle } else { DrainEnd::LimitReached }
    }

    /// Stops the services without waiting for work in progress.
    pub fn stop(mut self) {
        self.kernel.stop();
    }
}

/// Settings of the listener for other processes.
///
/// # Panics
/// When the log writer is not registered.
fn peer_settings(
    context: &ServiceContext,
    clock: &SharedClock,
    registry: &Registry<ServiceName>,
    process: ProcessLimits,
) -> ListenerSettings {
    ListenerSettings {
        name: "peers",
        clock: clock.clone(),
        log: context.event_log(registry).expect("the log writer is registered"),
        counters: context.counters.clone(),
        kind: ListenerKind::Peers,
        process,
    }
}

/// Registers the log writer. Every role registers it first, so that it stops
/// last.
fn register_log_writer(
    kernel: &mut Kernel<ServiceName>,
    clock: &SharedClock,
) -> Result<(), KernelError> {
    let clock = clock.clone();
    kernel.register::<LogLine, _>(ServiceName::LogWriter, LOG_RING_SLOTS, move |ring, _registry| {
        edges::log_writer::run(&ring, &clock);
    })
}

/// Registers the connection to control of an entry or an agent.
fn register_control_link(
    kernel: &mut Kernel<ServiceName>,
    context: &ServiceContext,
    link: ControlLink,
) -> Result<(), KernelError> {
    let context = context.clone();
    kernel.register(ServiceName::ControlLink, DUTY_RING_SLOTS, move |ring, registry| {
        let log = context.event_log(&registry).expect("the log writer is registered");
        edges::control_link::run(&ring, &registry, link, log);
    })
}

/// The context that the services of one role share.
fn context(clock: &SharedClock) -> ServiceContext {
    ServiceContext {
        clock: clock.clone(),
        counters: ProcessCounters::default(),
        gate: DrainGate::default(),
    }
}

/// The address that a listener is bound to; its port is chosen by the system where
/// port 0 was requested.
fn local_address(
    listener: &std::net::TcpListener,
    requested: SocketAddr,
) -> Result<SocketAddr, EdgeError> {
    listener.local_addr().map_err(|source| EdgeError::Listen { address: requested, source })
}

/// Panics if a service did not find another one that it needs: the role then
/// lacks a registration, which is a programming error.
fn expect_assembled(result: Result<(), KernelError>) {
    if let Err(error) = result {
        panic!("the role's assembly is incomplete: {error}");
    }
}

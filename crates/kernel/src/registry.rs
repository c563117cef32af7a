//! Owns the registry of a process's services and their start and stop order.
//!
//! Invariants:
//! - a name is registered at most once, with one message type;
//! - all rings exist before the first duty starts, so duties may look each
//!   other up in any order;
//! - stopping closes the rings in the reverse order of the start and joins each
//!   thread before it closes the next ring;
//! - the first duty that panics, or returns before the stop, is reported.

use std::any::Any;
use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::sync::Arc;
use std::thread::JoinHandle;

use snafu::{OptionExt, ResultExt, Snafu};

use crate::duty_end::{DutyEnd, DutyFailure, panic_message};
use crate::ring::{RingReceiver, RingSender, bounded};
use crate::stop::StopSignal;

/// Errors in the assembly or start of a process.
#[derive(Debug, Snafu)]
pub enum KernelError {
    /// Two services were registered under one name.
    #[snafu(display("service name {name} is registered twice"))]
    NameTaken {
        /// The duplicate name.
        name: String,
    },
    /// No service with this name and message type is registered.
    #[snafu(display("no service named {name} accepts messages of this type"))]
    NoSuchService {
        /// The requested name.
        name: String,
    },
    /// The operating system could not create a thread.
    #[snafu(display("cannot create the thread of {name}"))]
    Thread {
        /// Name of the duty.
        name: String,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// Looks up services by name. Clones are cheap and share one table.
pub struct Registry<N> {
    rings: Arc<HashMap<N, Box<dyn Any + Send + Sync>>>,
}

impl<N> Clone for Registry<N> {
    fn clone(&self) -> Registry<N> {
        Registry { rings: Arc::clone(&self.rings) }
    }
}

impl<N: Copy + Eq + Hash + Display> Registry<N> {
    /// Returns the sender of the service called `name`, whose messages have
    /// type `M`.
    ///
    /// # Errors
    /// `NoSuchService` when no service has this name or its messages have
    /// another type.
    pub fn find<M: Send + 'static>(&self, name: N) -> Result<RingSender<M>, KernelError> {
        self.rings
            .get(&name)
            .and_then(|ring| ring.downcast_ref::<RingSender<M>>())
            .cloned()
            .context(NoSuchServiceSnafu { name: name.to_string() })
    }
}

type DutyBody<N> = Box<dyn FnOnce(Registry<N>) + Send>;

struct PreparedDuty<N> {
    name: N,
    close: Box<dyn Fn() + Send>,
    body: DutyBody<N>,
}

struct RunningDuty {
    close: Box<dyn Fn() + Send>,
    thread: JoinHandle<()>,
}

/// Failures that are kept. The first one ends the process; those that follow from it
/// are dropped.
const FAILURE_SLOTS: usize = 1;

/// Registers the services of one process, then starts and stops them.
pub struct Kernel<N> {
    rings: HashMap<N, Box<dyn Any + Send + Sync>>,
    prepared: Vec<PreparedDuty<N>>,
    running: Vec<RunningDuty>,
    /// Raised once the duties are asked to end.
    stopping: StopSignal,
    failure_sender: RingSender<DutyFailure>,
    failures: Option<RingReceiver<DutyFailure>>,
}

impl<N> Default for Kernel<N> {
    fn default() -> Kernel<N> {
        let (failure_sender, failures) = bounded(FAILURE_SLOTS);
        Kernel {
            rings: HashMap::new(),
            prepared: Vec::new(),
            running: Vec::new(),
            stopping: StopSignal::default(),
            failure_sender,
            failures: Some(failures),
        }
    }
}

impl<N> Kernel<N>
where
    N: Copy + Eq + Hash + Display + Send + Sync + 'static,
{
    /// Registers a service under `name` with a ring for `capacity` messages.
    /// `body` runs on the service's own thread and must return once the ring is
    /// closed.
    ///
    /// # Errors
    /// `NameTaken` when the name is in use.
    pub fn register<M, F>(&mut self, name: N, capacity: usize, body: F) -> Result<(), KernelError>
    where
        M: Send + 'static,
        F: FnOnce(RingReceiver<M>, Registry<N>) + Send + 'static,
    {
        let (sender, receiver) = bounded::<M>(capacity);
        if self.rings.contains_key(&name) {
            return NameTakenSnafu { name: name.to_string() }.fail();
        }
        self.rings.insert(name, Box::new(sender.clone()));
        self.prepared.push(PreparedDuty {
            name,
            close: Box::new(move || sender.close()),
            body: Box::new(move |registry| body(receiver, registry)),
        });
        Ok(())
    }

    /// Starts the duties in the order of their registration.
    ///
    /// # Errors
    /// `Thread` when the operating system can't create a thread; duties that
    /// were already started are stopped.
    pub fn start(&mut self) -> Result<Registry<N>, KernelError> {
        let registry = Registry { rings: Arc::new(std::mem::take(&mut self.rings)) };
        for duty in std::mem::take(&mut self.prepared) {
            if let Err(error) = self.start_duty(duty, registry.clone()) {
                self.stop();
                return Err(error);
            }
        }
        Ok(registry)
    }

    fn start_duty(
        &mut self,
        duty: PreparedDuty<N>,
        registry: Registry<N>,
    ) -> Result<(), KernelError> {
        let PreparedDuty { name, close, body } = duty;
        let (stopping, failures) = (self.stopping.clone(), self.failure_sender.clone());
        let supervised = move || {
            let result = catch_unwind(AssertUnwindSafe(|| body(registry)));
            if let Some(end) = unasked_end(&result, &stopping) {
                let _one_is_known = failures.push(DutyFailure { duty: name.to_string(), end });
            }
            if let Err(panic) = result {
                resume_unwind(panic);
            }
        };
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(supervised)
            .context(ThreadSnafu { name: name.to_string() })?;
        self.running.push(RunningDuty { close, thread });
        Ok(())
    }

    /// The ring of the first duty that ends without being asked to; `None` once it was
    /// taken.
    pub fn take_failures(&mut self) -> Option<RingReceiver<DutyFailure>> {
        self.failures.take()
    }

    /// Stops the duties in the reverse order of their start: closes each ring
    /// and joins its thread. Resumes the panic of a duty that panicked.
    pub fn stop(&mut self) {
        self.stopping.raise();
        while let Some(duty) = self.running.pop() {
            (duty.close)();
            if let Err(panic) = duty.thread.join() {
                resume_unwind(panic);
            }
        }
    }
}

/// How a duty ended, unless it returned because it was asked to. A panic counts at any
/// time.
fn unasked_end(result: &std::thread::Result<()>, stopping: &StopSignal) -> Option<DutyEnd> {
    match result {
        Err(panic) => Some(DutyEnd::Panicked { message: panic_message(panic.as_ref()) }),
        Ok(()) if stopping.is_raised() => None,
        Ok(()) => Some(DutyEnd::Returned),
    }
}

//! The micro-kernel of a process: services that find each other by name, a
//! thread for each duty, bounded rings between duties, ordered start and stop,
//! and the clock.
//!
//! Invariants:
//! - the kernel is independent of the application: names and messages are
//!   generic;
//! - every ring is bounded, and no sender blocks on a full one;
//! - a receiver of an empty ring parks at once and never spins;
//! - duties stop in the reverse order of their start;
//! - a duty that ends without being asked to is reported, with the reason.

mod clock;
mod duty;
mod duty_end;
mod gate;
mod registry;
mod ring;
mod stop;

pub use clock::{BootTimeline, Clock, ManualClock, SharedClock, SystemClock};
pub use duty::{BatchHandler, DutyHandler, run_batched_duty, run_duty};
pub use duty_end::{DutyEnd, DutyFailure, panic_message};
pub use gate::DrainGate;
pub use registry::{Kernel, KernelError, Registry};
pub use ring::{PopResult, PushError, Reservation, RingReceiver, RingSender, bounded};
pub use stop::StopSignal;

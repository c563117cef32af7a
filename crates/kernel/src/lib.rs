//! The micro-kernel: services that find each other by name, a thread for each
//! duty, bounded rings between them, start and stop order, and the clock.
//!
//! Invariants:
//! - the kernel knows nothing of dispatching: names and messages are generic;
//! - no ring is unbounded and no sender ever blocks on a full one;
//! - a receiver that finds its ring empty parks at once and never spins;
//! - duties stop in the reverse order of their start.

mod clock;
mod duty;
mod gate;
mod registry;
mod ring;
mod stop;

pub use clock::{Clock, ManualClock, SharedClock, SystemClock};
pub use duty::{DutyState, serve};
pub use gate::DrainGate;
pub use registry::{Kernel, KernelError, Registry};
pub use ring::{Popped, PushError, Reservation, RingReceiver, RingSender, bounded};
pub use stop::StopSignal;

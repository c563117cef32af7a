//! Test doubles for what surrounds the system: a backend server, a caller, a
//! faulty network link and a disk; and the format of the traces that drive them.
//!
//! Invariant: every task start at a stand-in backend server is recorded, so that
//! a run can be checked against what actually ran.

mod backend_server;
mod caller;
mod faulty_link;
mod lease_server;
mod memory_disk;
mod precise_sleep;
mod raw_http;
mod standin_host;
mod start_records;
mod trace;

pub use backend_server::{BackendServer, BackendShape, Behaviour, task_payload};
pub use caller::{CallFailure, CallReply, Caller};
pub use faulty_link::{FaultyLink, LinkFault};
pub use lease_server::{LeaseEnd, LeaseFault, LeaseRun, LeaseServer, LeaseShape};
pub use memory_disk::{CrashTail, MemoryDisk};
pub use precise_sleep::precise_sleep;
pub use raw_http::{
    RawConnection, RawReply, RawRequest, RawResponse, RawServer, raw_call, request_bytes,
};
pub use standin_host::StandinHost;
pub use start_records::{StartRecord, StartRecords};
pub use trace::{
    Expectation, InstanceLine, Trace, TraceError, TraceEvent, TraceHeader, TraceStep, read_trace,
};

//! Owns the format of recorded traces: JSON lines with a header, timed events
//! and the outcomes that must come out.

use model::{ServiceId, SubmissionId, TeamId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::backend_server::Behaviour;

/// A backend server of the trace, with the worker it runs on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceLine {
    /// The worker.
    pub worker: String,
    /// Failure domain.
    pub domain: String,
    /// Rack.
    pub rack: String,
    /// Cores of the worker.
    pub cores: u32,
    /// Memory of the worker in MB.
    pub memory_mb: u32,
    /// The service it runs.
    pub service: ServiceId,
    /// Tasks at a time.
    pub slots: u32,
    /// Connections at a time.
    pub connections: u32,
    /// Run time relative to what a task states; above 1 is slower.
    pub speed: f64,
}

/// The first line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// The trace's name.
    pub trace: String,
    /// One sentence on what it shows.
    pub about: String,
    /// Operators' text, as a path from the repository's root.
    pub text: String,
    /// Entry processes.
    pub entries: usize,
    /// One-way delay between caller and entry that the ideal includes, in
    /// milliseconds.
    #[serde(default)]
    pub client_delay_ms: f64,
    /// Backend servers.
    pub instances: Vec<InstanceLine>,
}

/// What happens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceStep {
    /// A caller sends one request.
    Request {
        /// The service.
        service: ServiceId,
        /// The team.
        team: TeamId,
        /// Idempotency key.
        #[serde(default)]
        key: Option<SubmissionId>,
        /// Run time at a backend server of speed 1.
        run_ms: f64,
        /// Deadline.
        #[serde(default)]
        deadline_ms: Option<u64>,
    },
    /// A caller submits a job; the same submission again is a resubmission.
    Job {
        /// The service.
        service: ServiceId,
        /// The team.
        team: TeamId,
        /// Submission id.
        submission: SubmissionId,
        /// Run time of each task at a backend server of speed 1.
        run_ms: Vec<f64>,
        /// What each task declares; shorter lists declare nothing.
        #[serde(default)]
        declared_ms: Vec<u32>,
        /// Cores of each task.
        #[serde(default)]
        cores: Option<u32>,
        /// Deadline.
        #[serde(default)]
        deadline_ms: Option<u64>,
    },
    /// A caller cancels a job.
    Cancel {
        /// The team.
        team: TeamId,
        /// Submission id.
        submission: SubmissionId,
    },
    /// A backend server changes how it behaves.
    Behave {
        /// Its worker.
        worker: String,
        /// The behaviour.
        behaviour: Behaviour,
    },
    /// A backend server leaves, and comes back after a while.
    Restart {
        /// Its worker.
        worker: String,
        /// Milliseconds until it announces itself again.
        back_after_ms: u64,
    },
    /// A worker is cut off with all that runs on it.
    CutWorker {
        /// The worker.
        worker: String,
    },
    /// Open connections to a worker's agent go silent.
    SilenceLinks {
        /// The worker.
        worker: String,
    },
}

/// A timed event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// Milliseconds from the start.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub step: TraceStep,
}

/// What must come out; absent fields are not checked. That no task starts
/// twice, that "not run" is true and that answers are whole is always checked.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectation {
    /// Least share of calls answered in full.
    pub least_completed_share: Option<f64>,
    /// Least number of calls answered in full.
    pub least_completed: Option<usize>,
    /// Most calls whose failed answer says "unknown".
    pub most_unknown: Option<usize>,
    /// Most calls without any answer.
    pub most_unanswered: Option<usize>,
    /// Submissions that must be answered in full.
    pub complete: Vec<String>,
    /// Submissions that must fail with this kind.
    pub failed: indexmap::IndexMap<String, model::ErrorKind>,
    /// Workers that must get no start in the trace's last second.
    pub idle_at_end: Vec<String>,
}

/// A whole trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The first line.
    pub header: TraceHeader,
    /// Events in the order of their time.
    pub events: Vec<TraceEvent>,
    /// What must come out.
    pub expect: Expectation,
}

#[derive(Serialize, Deserialize)]
struct ExpectLine {
    expect: Expectation,
}

/// Why a trace can't be read.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// A line is not what is expected there.
    #[snafu(display("line {line}: {reason}"))]
    Line {
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        reason: String,
    },
    /// The trace ends early.
    #[snafu(display("the trace ends without its line of expected outcomes"))]
    NoExpectation,
}

/// Reads a trace.
///
/// # Errors
/// The first line that can't be read, or that the last line is missing.
pub fn read_trace(text: &str) -> Result<Trace, TraceError> {
    let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let Some((number, first)) = lines.next() else { return NoExpectationSnafu.fail() };
    let header: TraceHeader = read_line(number, first)?;
    let mut events: Vec<TraceEvent> = Vec::new();
    let mut expect = None;
    for (number, line) in lines {
        if expect.is_some() {
            let reason = "nothing may follow the expected outcomes".to_owned();
            return LineSnafu { line: number + 1, reason }.fail();
        }
        if line.contains("\"expect\"") {
            expect = Some(read_line::<ExpectLine>(number, line)?.expect);
        } else {
            events.push(read_line(number, line)?);
        }
    }
    let Some(expect) = expect else { return NoExpectationSnafu.fail() };
    events.sort_by_key(|event| event.at_ms);
    Ok(Trace { header, events, expect })
}

fn read_line<T: serde::de::DeserializeOwned>(number: usize, line: &str) -> Result<T, TraceError> {
    serde_json::from_str(line)
        .map_err(|error| TraceError::Line { line: number + 1, reason: error.to_string() })
}

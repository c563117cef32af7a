//! Owns the format of recorded traces: JSON lines with a header, then timed
//! events, then the expectations.

use model::{ServiceId, SubmissionId, TeamId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::backend_server::Behaviour;

/// A backend server of the trace's cluster and the worker that it runs on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceLine {
    /// Name of the worker.
    pub worker: String,
    /// Failure domain of the worker.
    pub domain: String,
    /// Rack of the worker.
    pub rack: String,
    /// Cores of the worker.
    pub cores: u32,
    /// Memory of the worker in MB.
    pub memory_mb: u32,
    /// The service whose tasks the backend server runs.
    pub service: ServiceId,
    /// Tasks that run at a time.
    pub slots: u32,
    /// Connections that the backend server announces as its limit.
    pub connections: u32,
    /// Run time relative to what a task states; above 1 is slower.
    pub speed: f64,
}

/// The first line of a trace: the cluster it runs on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Name of the trace, printed in reports.
    pub trace: String,
    /// One sentence on what the trace tests.
    pub about: String,
    /// Path of the operators' text (the configuration of services, teams and
    /// routing), from the repository's root.
    pub text: String,
    /// Number of entries.
    pub entries: usize,
    /// One-way delay between client and entry in milliseconds; the ideal response
    /// time includes it twice.
    #[serde(default)]
    pub client_delay_ms: f64,
    /// The backend servers.
    pub instances: Vec<InstanceLine>,
}

/// What happens at an event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceStep {
    /// A caller sends one request, which is one task.
    Request {
        /// Service that runs the task.
        service: ServiceId,
        /// Team that the caller belongs to.
        team: TeamId,
        /// Idempotency key, which services that are not idempotent require.
        #[serde(default)]
        key: Option<SubmissionId>,
        /// Run time on a backend server of speed 1, in milliseconds.
        run_ms: f64,
        /// Time limit in milliseconds from arrival at the entry; the service's
        /// default if absent.
        #[serde(default)]
        deadline_ms: Option<u64>,
    },
    /// A caller submits a job; the same submission again is a resubmission.
    Job {
        /// Service that runs the tasks.
        service: ServiceId,
        /// Team that submits the job.
        team: TeamId,
        /// Id of the job, unique within the team.
        submission: SubmissionId,
        /// Run time of each task on a backend server of speed 1, in
        /// milliseconds.
        run_ms: Vec<f64>,
        /// Declared run time of each task in milliseconds; tasks beyond the end
        /// of the list declare none.
        #[serde(default)]
        declared_ms: Vec<u32>,
        /// Cores that each task needs; 1 if absent.
        #[serde(default)]
        cores: Option<u32>,
        /// Time limit in milliseconds from arrival at the entry; the service's
        /// default if absent.
        #[serde(default)]
        deadline_ms: Option<u64>,
    },
    /// A caller cancels a job.
    Cancel {
        /// Team that submitted the job.
        team: TeamId,
        /// Id of the job within the team.
        submission: SubmissionId,
    },
    /// A backend server changes its behaviour.
    Behave {
        /// Worker that it runs on.
        worker: String,
        /// Applies to tasks received from now on.
        behaviour: Behaviour,
    },
    /// A backend server leaves and is started again after a downtime.
    Restart {
        /// Worker that it runs on.
        worker: String,
        /// Downtime in milliseconds.
        back_after_ms: u64,
    },
    /// A worker loses all connections, and new ones fail.
    CutWorker {
        /// Name of the worker.
        worker: String,
    },
    /// The open connections to a worker's agent stay open but transmit nothing.
    SilenceLinks {
        /// Name of the worker.
        worker: String,
    },
}

/// A step at its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// Milliseconds from the start of the replay.
    pub at_ms: u64,
    /// What happens then.
    #[serde(flatten)]
    pub step: TraceStep,
}

/// What a replay must result in; absent fields are not checked. In addition every
/// replay is checked for tasks that start twice, answers of "not run" for jobs of
/// which a task started, and incomplete answers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectation {
    /// Minimum share of calls answered in full, from 0 to 1.
    #[serde(rename = "least_completed_share")]
    pub min_completed_share: Option<f64>,
    /// Minimum number of calls answered in full.
    #[serde(rename = "least_completed")]
    pub min_completed: Option<usize>,
    /// Maximum number of calls that fail with outcome unknown.
    #[serde(rename = "most_unknown")]
    pub max_unknown: Option<usize>,
    /// Maximum number of calls without any answer.
    #[serde(rename = "most_unanswered")]
    pub max_unanswered: Option<usize>,
    /// Submissions, as `team/submission`, that must be answered in full.
    pub complete: Vec<String>,
    /// Submissions, as `team/submission`, that must fail, and the kind of error.
    pub failed: indexmap::IndexMap<String, model::ErrorKind>,
    /// Workers that must start no task later than 1 s before the last event.
    pub idle_at_end: Vec<String>,
}

/// A parsed trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The first line.
    pub header: TraceHeader,
    /// Events, sorted by time.
    pub events: Vec<TraceEvent>,
    /// The expectations, from the last line.
    pub expect: Expectation,
}

#[derive(Serialize, Deserialize)]
struct ExpectLine {
    expect: Expectation,
}

/// Why a trace can't be read.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// A line can't be parsed, or follows the expectations.
    #[snafu(display("line {line}: {reason}"))]
    Line {
        /// Line number, from 1.
        line: usize,
        /// What is wrong.
        reason: String,
    },
    /// The last line, with the expectations, is missing.
    #[snafu(display("the trace has no last line with \"expect\""))]
    NoExpectation,
}

/// Parses a trace from JSON lines; blank lines are skipped.
///
/// # Errors
/// The first line that can't be parsed or follows the expectations, or that the
/// expectations are missing.
pub fn read_trace(text: &str) -> Result<Trace, TraceError> {
    let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let Some((number, first)) = lines.next() else { return NoExpectationSnafu.fail() };
    let header: TraceHeader = parse_line(number, first)?;
    let mut events: Vec<TraceEvent> = Vec::new();
    let mut expect = None;
    for (number, line) in lines {
        if expect.is_some() {
            let reason = "no line may follow the one with \"expect\"".to_owned();
            return LineSnafu { line: number + 1, reason }.fail();
        }
        if line.contains("\"expect\"") {
            expect = Some(parse_line::<ExpectLine>(number, line)?.expect);
        } else {
            events.push(parse_line(number, line)?);
        }
    }
    let Some(expect) = expect else { return NoExpectationSnafu.fail() };
    events.sort_by_key(|event| event.at_ms);
    Ok(Trace { header, events, expect })
}

fn parse_line<T: serde::de::DeserializeOwned>(number: usize, line: &str) -> Result<T, TraceError> {
    serde_json::from_str(line)
        .map_err(|error| TraceError::Line { line: number + 1, reason: error.to_string() })
}

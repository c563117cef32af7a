//! `load --slopes`: fits the processor time of each duty linearly to the request
//! rate and to the number of idle agents. docs/CAPACITY.md quotes the results.

use indexmap::IndexMap;
use model::{
    AgentView, ConfigUpdate, ControlView, MemberRecord, NodeRole, NodeWatch, OwnerRef, Payload,
    ServiceSlots, StartOrder, TaskKey, TaskOutcome, TaskReport, TaskStatus, WorkerSize,
};
use serde::Serialize;

use super::load::{play_idle, play_steady};
use super::print_json;
use crate::cli::ExitKind;
use crate::report::print_table;

/// Request rates at which duties are measured, in requests a second.
const REQUEST_RATES: [u64; 4] = [125, 250, 500, 1_000];
/// Numbers of idle agents with which the control duties are measured.
const AGENT_COUNTS: [usize; 3] = [10, 20, 40];
const LOAD_SECONDS: u64 = 6;
const IDLE_SECONDS: u64 = 20;

/// A linear fit of one duty's processor time.
#[derive(Debug, Clone, Serialize)]
struct LineFit {
    duty: String,
    /// Microseconds of processor time for each request or idle agent.
    slope_us: f64,
    /// Processor time at zero load, in microseconds a second.
    base_us: f64,
    /// Root mean square error of the fit, in microseconds a second.
    error_us: f64,
}

/// The output of `load --slopes`; a list has one fit for each duty.
#[derive(Debug, Serialize)]
struct Slopes {
    /// Requests of an idempotent service.
    for_each_repeatable_request: Vec<LineFit>,
    /// Requests of a service that is not idempotent; the ledger records each.
    for_each_recorded_request: Vec<LineFit>,
    /// Agents that share one request a second.
    for_each_idle_agent: Vec<LineFit>,
    /// Encoded length of typical messages, by message.
    message_bytes: IndexMap<&'static str, usize>,
}

/// Measures the slopes and prints them.
pub(super) fn run(json: bool) -> ExitKind {
    match measure() {
        Ok(slopes) if json => print_json(&slopes),
        Ok(slopes) => print(&slopes),
        Err(exit) => return exit,
    }
    ExitKind::Done
}

fn measure() -> Result<Slopes, ExitKind> {
    let mut read = Vec::new();
    let mut write = Vec::new();
    for rate in REQUEST_RATES {
        read.push((rate as f64, play_steady("read", rate, LOAD_SECONDS)?));
        write.push((rate as f64, play_steady("write", rate, LOAD_SECONDS)?));
    }
    let mut idle = Vec::new();
    for agents in AGENT_COUNTS {
        idle.push((agents as f64, play_idle(agents, IDLE_SECONDS)?));
    }
    Ok(Slopes {
        for_each_repeatable_request: fit_duties(&read),
        for_each_recorded_request: fit_duties(&write),
        for_each_idle_agent: fit_duties(&idle),
        message_bytes: message_bytes(),
    })
}

/// Request rates or numbers of agents, each with the processor time by duty
/// measured there, in seconds for each second of the replay.
type LoadPoints = Vec<(f64, IndexMap<String, f64>)>;

fn fit_duties(points: &LoadPoints) -> Vec<LineFit> {
    let mut duties: Vec<&String> = points.iter().flat_map(|(_, used)| used.keys()).collect();
    duties.sort_unstable();
    duties.dedup();
    let fit_one = |duty: &String| {
        let duty_points =
            points.iter().map(|(size, used)| (*size, used.get(duty).copied().unwrap_or(0.0)));
        fit_line(duty, &duty_points.collect::<Vec<(f64, f64)>>())
    };
    duties.into_iter().map(fit_one).collect()
}

/// Fits a line to `points` by ordinary least squares.
fn fit_line(duty: &str, points: &[(f64, f64)]) -> LineFit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
    LineFit {
        duty: duty.to_owned(),
        slope_us: slope * 1e6,
        base_us: base * 1e6,
        error_us: (squares / count).sqrt() * 1e6,
    }
}

fn print(slopes: &Slopes) {
    print_fits("for each repeatable request", &slopes.for_each_repeatable_request);
    print_fits("for each recorded request", &slopes.for_each_recorded_request);
    print_fits("for each idle agent", &slopes.for_each_idle_agent);
    let rows = slopes.message_bytes.iter();
    let rows = rows.map(|(name, bytes)| vec![(*name).to_owned(), bytes.to_string()]);
    print_table(&["message", "bytes"], rows.collect());
}

fn print_fits(title: &str, fits: &[LineFit]) {
    println!("processor time {title}:");
    let rows = fits.iter().map(|fit| {
        vec![
            fit.duty.clone(),
            format!("{:.1}", fit.slope_us),
            format!("{:.0}", fit.base_us),
            format!("{:.0}", fit.error_us),
        ]
    });
    print_table(&["duty", "us each", "us/s at zero load", "fit error us/s"], rows.collect());
    println!();
}

/// Encoded lengths of typical messages, in bytes.
fn message_bytes() -> IndexMap<&'static str, usize> {
    let member = MemberRecord {
        node: "worker-0001".into(),
        role: NodeRole::Agent,
        incarnation: 1_796_379_179_494,
        address: ([10, 0, 12, 34], 7_101).into(),
        domain: "north-1".into(),
    };
    let key = TaskKey {
        job: model::JobKey { team: "crew-north".into(), submission: "order-123456".into() },
        task: 7,
    };
    let watch = NodeWatch {
        member: member.clone(),
        config_version: 2_800,
        members_version: 12_345,
        leaving: false,
    };
    let view = ControlView {
        term: 12,
        lease_ms: 10_000,
        fenced: false,
        config: ConfigUpdate::Current,
        members: None,
    };
    let payload = Payload::parse("{\"tin\":\"1234567\",\"amount\":3}").unwrap_or(Payload::null());
    let order = StartOrder {
        key: key.clone(),
        attempt: model::attempt_id(1, 1),
        owner: OwnerRef { entry: "entry-1".into(), incarnation: 1_796_379_179_494 },
        service: "order".into(),
        idempotent: false,
        remaining_ms: 14_990,
        payload: payload.clone(),
    };
    let outcome = TaskOutcome::Completed { answer: payload, run_us: 181_234 };
    let report = TaskReport {
        key,
        attempt: order.attempt,
        incarnation: member.incarnation,
        status: TaskStatus::Ended { outcome },
        running: 7,
        queued: 0,
    };
    let agent_view = AgentView {
        worker: member.node.clone(),
        incarnation: member.incarnation,
        version: 17,
        domain: member.domain.clone(),
        rack: "rack-17".into(),
        draining: false,
        size: WorkerSize { cores: 16, memory_mb: 32_768, accelerators: 1 },
        services: vec![ServiceSlots { service: "order".into(), slots: 8, running: 7, queued: 0 }],
    };
    IndexMap::from([
        ("lease renewal", encoded_length(&watch)),
        ("its answer without news", encoded_length(&view)),
        ("one member in a list", encoded_length(&member)),
        ("start order", encoded_length(&order)),
        ("its answer", encoded_length(&report)),
        ("an agent's view", encoded_length(&agent_view)),
    ])
}

fn encoded_length(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}

//! `load --slopes`: what each duty costs for each request and for each idle
//! agent, fitted over several sizes; the figures of docs/CAPACITY.md.

use indexmap::IndexMap;
use model::{
    AgentView, ConfigUpdate, ControlView, MemberRecord, NodeRole, NodeWatch, OwnerRef, Payload,
    ServiceSlots, StartOrder, TaskFate, TaskKey, TaskOutcome, TaskReport, WorkerSize,
};
use serde::Serialize;

use super::load::{play_idle, play_steady};
use super::print_json;
use crate::cli::ExitKind;
use crate::report::print_table;

/// Requests a second at which duties are measured.
const RATES: [u64; 4] = [125, 250, 500, 1_000];
/// Agents beside which the control duties are measured.
const AGENTS: [usize; 3] = [10, 20, 40];
const SECONDS: u64 = 6;
const IDLE_SECONDS: u64 = 20;

/// A straight line through measured points.
#[derive(Debug, Clone, Serialize)]
struct Fit {
    duty: String,
    /// Microseconds of processor time for each unit.
    slope_us: f64,
    /// Processor time at no load, in microseconds a second.
    base_us: f64,
    /// Root mean square distance of the points from the line, in microseconds
    /// a second.
    error_us: f64,
}

#[derive(Debug, Serialize)]
struct Slopes {
    for_each_repeatable_request: Vec<Fit>,
    for_each_recorded_request: Vec<Fit>,
    for_each_idle_agent: Vec<Fit>,
    message_bytes: IndexMap<&'static str, usize>,
}

/// Measures and prints.
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
    for rate in RATES {
        read.push((rate as f64, play_steady("read", rate, SECONDS)?));
        write.push((rate as f64, play_steady("write", rate, SECONDS)?));
    }
    let mut idle = Vec::new();
    for agents in AGENTS {
        idle.push((agents as f64, play_idle(agents, IDLE_SECONDS)?));
    }
    Ok(Slopes {
        for_each_repeatable_request: fits(&read),
        for_each_recorded_request: fits(&write),
        for_each_idle_agent: fits(&idle),
        message_bytes: message_bytes(),
    })
}

/// Seconds of processor time a second, by duty, at each size.
type Points = Vec<(f64, IndexMap<String, f64>)>;

fn fits(points: &Points) -> Vec<Fit> {
    let mut duties: Vec<&String> = points.iter().flat_map(|(_, used)| used.keys()).collect();
    duties.sort_unstable();
    duties.dedup();
    let of = |duty: &String| {
        let line =
            points.iter().map(|(size, used)| (*size, used.get(duty).copied().unwrap_or(0.0)));
        fit(duty, &line.collect::<Vec<(f64, f64)>>())
    };
    duties.into_iter().map(of).collect()
}

/// Least squares.
fn fit(duty: &str, points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
    Fit {
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

fn print_fits(title: &str, fits: &[Fit]) {
    println!("processor time {title}:");
    let rows = fits.iter().map(|fit| {
        vec![
            fit.duty.clone(),
            format!("{:.1}", fit.slope_us),
            format!("{:.0}", fit.base_us),
            format!("{:.0}", fit.error_us),
        ]
    });
    print_table(&["duty", "us each", "us/s at rest", "fit error us/s"], rows.collect());
    println!();
}

/// Lengths of typical messages as they are encoded.
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
        left_ms: 14_990,
        payload: payload.clone(),
    };
    let outcome = TaskOutcome::Completed { answer: payload, run_us: 181_234 };
    let report = TaskReport {
        key,
        attempt: order.attempt,
        incarnation: member.incarnation,
        fate: TaskFate::Ended { outcome },
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
        ("lease renewal", length(&watch)),
        ("its answer without news", length(&view)),
        ("one member in a list", length(&member)),
        ("start order", length(&order)),
        ("its answer", length(&report)),
        ("an agent's view", length(&agent_view)),
    ])
}

fn length(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}

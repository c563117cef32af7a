//! `status`, `explain`, `figures`: read-only commands on the cluster's state, one
//! job's events and the monthly figures.

use std::net::SocketAddr;

use clap::ArgMatches;
use model::{ControlAnswer, ControlQuery, ControlStatus, FigureRow, MonthFigures};
use standin::Caller;

use super::{argument, print_json, wants_json, with_control};
use crate::cli::ExitKind;
use crate::report::{bucket_quantile, print_table};

/// Prints the control hosts, the members and the versions in force.
pub fn status(matches: &ArgMatches) -> ExitKind {
    let answer = with_control(matches, async |client| client.query(ControlQuery::Status).await);
    let status = match answer {
        Ok(ControlAnswer::Status(status)) => status,
        Ok(_) => return ExitKind::Unknown,
        Err(exit) => return exit,
    };
    if wants_json(matches) {
        print_json(&status);
    } else {
        print_status(&status);
    }
    ExitKind::Done
}

fn print_status(status: &ControlStatus) {
    println!(
        "leader {} term {} commit {} configuration {}",
        status.host, status.term, status.commit, status.config_version
    );
    let hosts = status.group.iter().map(|peer| {
        let synced = status.replicas.iter().find(|(name, _)| *name == peer.name);
        let synced = synced.map_or("-".to_owned(), |(_, index)| index.to_string());
        vec![peer.name.to_string(), peer.address.to_string(), synced]
    });
    print_table(&["control", "address", "synced"], hosts.collect());
    if !status.joining.is_empty() {
        let joining = status.joining.iter().map(|row| {
            vec![
                row.host.name.to_string(),
                row.host.address.to_string(),
                row.joining_ms.to_string(),
                row.stalled_ms.to_string(),
                row.index.to_string(),
                row.snapshot_bytes.to_string(),
            ]
        });
        let titles = ["joining", "address", "since ms", "stalled ms", "synced", "snapshot bytes"];
        print_table(&titles, joining.collect());
    }
    let members = status.members.iter().map(|row| {
        vec![
            row.member.node.to_string(),
            row.member.role.to_string(),
            row.member.domain.to_string(),
            row.member.address.to_string(),
            row.config_version.to_string(),
            row.silent_ms.to_string(),
        ]
    });
    let titles = ["member", "role", "domain", "address", "configuration", "silent ms"];
    print_table(&titles, members.collect());
}

/// Prints the recorded events of a job, queried at the entry that received it.
pub fn explain(matches: &ArgMatches) -> ExitKind {
    let job = argument(matches, "job");
    let Some((team, submission)) = job.split_once('/') else {
        eprintln!("job: expected TEAM/SUBMISSION, such as crew-north/order-1, found \"{job}\"");
        return ExitKind::BadInput;
    };
    let Some(entry) = matches.get_one::<SocketAddr>("entry") else { return ExitKind::BadInput };
    let path = format!("/v1/jobs/{team}/{submission}/explain");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let reply = match runtime {
        Ok(runtime) => runtime.block_on(Caller::new().get(*entry, &path)),
        Err(error) => {
            eprintln!("can't start the async runtime: {error}");
            return ExitKind::Refused;
        }
    };
    match reply {
        Ok(reply) if reply.status == 200 => {
            print_lines(&reply.body, wants_json(matches));
            ExitKind::Done
        }
        Ok(reply) => {
            eprintln!("{}", reply.body);
            ExitKind::Refused
        }
        Err(error) => {
            eprintln!("entry {entry}: {error}");
            ExitKind::Unknown
        }
    }
}

fn print_lines(body: &str, json: bool) {
    let lines: Result<Vec<String>, _> = serde_json::from_str(body);
    match lines {
        Ok(lines) if !json => lines.iter().for_each(|line| println!("{line}")),
        _ => println!("{body}"),
    }
}

/// Prints the figures of a month as a table, JSON or CSV.
pub fn figures(matches: &ArgMatches) -> ExitKind {
    let month = argument(matches, "month");
    if !is_month(month) {
        eprintln!("--month: expected YYYY-MM, month 01 to 12, such as 2026-12, found \"{month}\"");
        return ExitKind::BadInput;
    }
    let query = ControlQuery::Figures { month: month.into() };
    let figures = match with_control(matches, async |client| client.query(query).await) {
        Ok(ControlAnswer::Figures(figures)) => figures,
        Ok(_) => return ExitKind::Unknown,
        Err(exit) => return exit,
    };
    if wants_json(matches) {
        print_json(&figures);
    } else if matches.get_flag("csv") {
        print_csv(&figures);
    } else {
        print_figures(&figures);
    }
    ExitKind::Done
}

fn is_month(text: &str) -> bool {
    let Some((year, month)) = text.split_once('-') else { return false };
    let digits =
        |text: &str, length| text.len() == length && text.bytes().all(|b| b.is_ascii_digit());
    digits(year, 4) && digits(month, 2) && (1..=12).contains(&month.parse().unwrap_or(0))
}

const FIGURE_TITLES: [&str; 10] = [
    "service",
    "team",
    "submitted",
    "completed",
    "failed",
    "refused",
    "tasks",
    "wasted",
    "slowdown p50",
    "slowdown p99",
];

fn figure_cells(row: &FigureRow) -> Vec<String> {
    vec![
        row.service.to_string(),
        row.team.to_string(),
        row.submitted.to_string(),
        row.completed.to_string(),
        row.failed.values().sum::<u64>().to_string(),
        row.refused.values().sum::<u64>().to_string(),
        row.tasks.to_string(),
        row.wasted.to_string(),
        bucket_quantile(&row.slowdown, 0.5),
        bucket_quantile(&row.slowdown, 0.99),
    ]
}

fn print_figures(figures: &MonthFigures) {
    let state = if figures.closed { "closed" } else { "open" };
    println!("{} ({state}, definitions {})", figures.month, figures.definitions);
    print_table(&FIGURE_TITLES, figures.rows.iter().map(figure_cells).collect());
}

fn print_csv(figures: &MonthFigures) {
    println!("month,definitions,{}", FIGURE_TITLES.join(",").replace(' ', "_"));
    for row in &figures.rows {
        println!("{},{},{}", figures.month, figures.definitions, figure_cells(row).join(","));
    }
}

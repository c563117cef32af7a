//! Prints tables and replay reports for a terminal.

use indexmap::IndexMap;

use crate::replay::ReplayReport;

/// Prints `rows` below `titles`; each column is as wide as its widest cell.
pub(crate) fn print_table(titles: &[&str], rows: Vec<Vec<String>>) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([titles[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..titles.len()).map(width).collect();
    println!("{}", format_row(titles.iter().copied(), &widths));
    for row in &rows {
        println!("{}", format_row(row.iter().map(String::as_str), &widths));
    }
}

fn format_row<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let padded = cells.zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    padded.collect::<Vec<String>>().join("  ").trim_end().to_owned()
}

/// The value at `quantile` (0 to 1) of a histogram from buckets to counts, whose
/// buckets are values in hundredths; `-` where it is empty.
pub(crate) fn bucket_quantile(buckets: &IndexMap<u64, u64>, quantile: f64) -> String {
    let mut sorted: Vec<(u64, u64)> = buckets.iter().map(|(at, count)| (*at, *count)).collect();
    sorted.sort_unstable();
    let total: u64 = sorted.iter().map(|(_, count)| count).sum();
    let rank = (quantile * total as f64).ceil().max(1.0) as u64;
    let mut seen = 0;
    for (bucket, count) in sorted {
        seen += count;
        if seen >= rank {
            return format!("{:.2}", bucket as f64 / 100.0);
        }
    }
    "-".to_owned()
}

/// Prints a table of replays, then the details of each.
pub(crate) fn print_replays(reports: &[ReplayReport]) {
    let titles = [
        "trace",
        "policy",
        "calls",
        "whole",
        "failed",
        "p50",
        "p99",
        "p99.9",
        "mean",
        "excess p50 ms",
        "excess p99 ms",
        "waste/call",
        "seconds",
    ];
    let rows = reports.iter().map(|report| {
        vec![
            report.trace.clone(),
            report.policy.to_string(),
            report.calls.to_string(),
            report.completed.to_string(),
            (report.calls - report.completed).to_string(),
            format!("{:.3}", report.slowdown.p50),
            format!("{:.3}", report.slowdown.p99),
            format!("{:.3}", report.slowdown.p999),
            format!("{:.3}", report.slowdown.mean),
            format!("{:.1}", report.slowdown.excess_p50_ms),
            format!("{:.1}", report.slowdown.excess_p99_ms),
            format!("{:.4}", report.wasted_per_completed),
            format!("{:.1}", report.seconds),
        ]
    });
    print_table(&titles, rows.collect());
    for report in reports {
        print_details(report);
    }
}

fn print_details(report: &ReplayReport) {
    println!("\n{} under {}:", report.trace, report.policy);
    let messages: Vec<String> = report
        .messages
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    println!("  messages: {}", messages.join(", "));
    for (kind, count) in &report.failed {
        println!("  failed: {kind} {count}");
    }
    if report.unanswered > 0 {
        println!("  unanswered: {}", report.unanswered);
    }
    if report.violations.is_empty() {
        println!("  every invariant and expectation held");
    }
    for violation in &report.violations {
        println!("  VIOLATED: {violation}");
    }
}

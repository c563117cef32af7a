//! Owns the figures that an entry has counted and not yet shipped.
//!
//! Invariant: an increment keeps its sequence and content until control has
//! recorded it.

use std::time::SystemTime;

use compact_str::CompactString;
use decisions::entry::FigureEvent;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use model::{FigureIncrement, FigureRow, Incarnation, NodeId, Ran, ServiceId, TeamId};

/// Slowdowns are kept to three significant digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Counts the figures of one entry.
pub(crate) struct FigureMeter {
    entry: NodeId,
    incarnation: Incarnation,
    sequence: u64,
    rows: IndexMap<(ServiceId, TeamId), FigureRow>,
    wasted_before: u64,
    unshipped: Option<FigureIncrement>,
}

impl FigureMeter {
    pub(crate) fn new(entry: NodeId, incarnation: Incarnation) -> FigureMeter {
        FigureMeter {
            entry,
            incarnation,
            sequence: 0,
            rows: IndexMap::new(),
            wasted_before: 0,
            unshipped: None,
        }
    }

    /// Counts one answered submission. `wasted` is the process's count so far;
    /// what came since the last answer is put down to this one.
    pub(crate) fn count(&mut self, event: FigureEvent, wasted: u64) {
        let key = (event.service.clone(), event.team.clone());
        let row = self.rows.entry(key).or_insert_with(|| FigureRow {
            service: event.service,
            team: event.team,
            ..FigureRow::default()
        });
        row.submitted += 1;
        row.tasks += event.tasks;
        row.wasted += wasted.saturating_sub(self.wasted_before);
        self.wasted_before = wasted;
        match event.failure {
            None => row.completed += 1,
            Some(kind) if kind.answer_row().ran == Ran::No => {
                *row.refused.entry(CompactString::from(kind.to_string())).or_default() += 1;
            }
            Some(kind) => {
                *row.failed.entry(CompactString::from(kind.to_string())).or_default() += 1;
            }
        }
        if let Some(percent) = event.slowdown_percent {
            *row.slowdown.entry(bucket(percent)).or_default() += 1;
        }
    }

    /// The increment to ship: the one that is still unrecorded, or a new one.
    pub(crate) fn increment(
        &mut self,
        now: SystemTime,
        time_zone: &str,
    ) -> Option<FigureIncrement> {
        if self.unshipped.is_none() && !self.rows.is_empty() {
            self.sequence += 1;
            let rows = std::mem::take(&mut self.rows);
            self.unshipped = Some(FigureIncrement {
                entry: self.entry.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                month: month_of(now, time_zone),
                rows: rows.into_values().collect(),
            });
        }
        self.unshipped.clone()
    }

    /// Control has recorded increments up to `sequence`.
    pub(crate) fn on_recorded(&mut self, sequence: u64) {
        let recorded = |increment: &FigureIncrement| increment.sequence <= sequence;
        if self.unshipped.as_ref().is_some_and(recorded) {
            self.unshipped = None;
        }
    }
}

/// Lower end of the histogram bucket that a value falls into.
fn bucket(percent: u64) -> u64 {
    match Histogram::<u64>::new(SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram.lowest_equivalent(percent),
        Err(_) => percent,
    }
}

/// Whether `name` is an IANA time zone.
pub fn is_time_zone(name: &str) -> bool {
    jiff::tz::TimeZone::get(name).is_ok()
}

/// Calendar month of a moment in a time zone, as `2026-12`; in UTC when the
/// zone is not known.
fn month_of(moment: SystemTime, time_zone: &str) -> CompactString {
    let timestamp = jiff::Timestamp::try_from(moment).unwrap_or_default();
    let zone = jiff::tz::TimeZone::get(time_zone).unwrap_or(jiff::tz::TimeZone::UTC);
    CompactString::from(timestamp.to_zoned(zone).strftime("%Y-%m").to_string())
}

//! Counts an entry's figures and groups them into increments for control.
//!
//! Invariant: an increment keeps its sequence number and content until control
//! has acknowledged it, so that control can discard duplicates.

use std::time::SystemTime;

use compact_str::CompactString;
use decisions::entry::FigureEvent;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use model::{FigureIncrement, FigureRow, Incarnation, NodeId, Ran, ServiceId, TeamId};

/// Precision of slowdowns in significant decimal digits: a histogram bucket is
/// less than 1% wide.
const SLOWDOWN_SIGNIFICANT_DIGITS: u8 = 2;

/// Figures of one entry since its last increment, and the increment that control
/// has not acknowledged.
pub(crate) struct FigureMeter {
    entry: NodeId,
    incarnation: Incarnation,
    /// Sequence number of the latest increment.
    sequence: u64,
    rows: IndexMap<(ServiceId, TeamId), FigureRow>,
    /// Wasted messages that have been attributed to an answer.
    counted_wasted: u64,
    unacked: Option<FigureIncrement>,
}

impl FigureMeter {
    pub(crate) fn new(entry: NodeId, incarnation: Incarnation) -> FigureMeter {
        FigureMeter {
            entry,
            incarnation,
            sequence: 0,
            rows: IndexMap::new(),
            counted_wasted: 0,
            unacked: None,
        }
    }

    /// Counts one answered submission. `wasted` is the process-wide count of
    /// wasted messages so far; those since the previous answer are attributed to
    /// this one.
    pub(crate) fn count(&mut self, event: FigureEvent, wasted: u64) {
        let key = (event.service.clone(), event.team.clone());
        let row = self.rows.entry(key).or_insert_with(|| FigureRow {
            service: event.service,
            team: event.team,
            ..FigureRow::default()
        });
        row.submitted += 1;
        row.tasks += event.tasks;
        row.wasted += wasted.saturating_sub(self.counted_wasted);
        self.counted_wasted = wasted;
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
            *row.slowdown.entry(slowdown_bucket(percent)).or_default() += 1;
        }
    }

    /// Next increment to send: the unacknowledged one if there is one, else a new
    /// one of the figures counted so far. `None` if there are none.
    pub(crate) fn increment(
        &mut self,
        now: SystemTime,
        time_zone: &str,
    ) -> Option<FigureIncrement> {
        if self.unacked.is_none() && !self.rows.is_empty() {
            self.sequence += 1;
            let rows = std::mem::take(&mut self.rows);
            self.unacked = Some(FigureIncrement {
                entry: self.entry.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                month: month_of(now, time_zone),
                rows: rows.into_values().collect(),
            });
        }
        self.unacked.clone()
    }

    /// Handles control's acknowledgement of increments up to `sequence`.
    pub(crate) fn on_acked(&mut self, sequence: u64) {
        let is_acked = |increment: &FigureIncrement| increment.sequence <= sequence;
        if self.unacked.as_ref().is_some_and(is_acked) {
            self.unacked = None;
        }
    }
}

/// Lowest value of the histogram bucket that contains `percent`.
fn slowdown_bucket(percent: u64) -> u64 {
    match Histogram::<u64>::new(SLOWDOWN_SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram.lowest_equivalent(percent),
        Err(_) => percent,
    }
}

/// Returns whether `name` is an IANA time zone.
pub fn is_time_zone(name: &str) -> bool {
    jiff::tz::TimeZone::get(name).is_ok()
}

/// Calendar month of `moment` in a time zone, as `2026-12`. An unknown zone
/// counts as UTC.
fn month_of(moment: SystemTime, time_zone: &str) -> CompactString {
    let timestamp = jiff::Timestamp::try_from(moment).unwrap_or_default();
    let zone = jiff::tz::TimeZone::get(time_zone).unwrap_or(jiff::tz::TimeZone::UTC);
    CompactString::from(timestamp.to_zoned(zone).strftime("%Y-%m").to_string())
}

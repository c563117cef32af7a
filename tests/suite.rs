//! The integration tests, one file a feature, linked into one program. The
//! first group of modules holds models and fixtures that the others share.

mod job_model;
mod log_model;
mod process_group;
mod schedule_model;
mod support;

mod bad_input;
mod burst_admission;
mod catalog_versions;
mod config_versions;
mod fair_sharing;
mod graceful_drain;
mod group_restart;
mod group_size;
mod job_path;
mod job_promises;
mod journal_recovery;
mod late_answers;
mod lease_renewal;
mod ledger_claims;
mod log_agreement;
mod log_exploration;
mod mixed_speeds;
mod monthly_figures;
mod platform_words;
mod process_failures;
mod queue_path;
mod queue_routes;
mod request_path;
mod ring_bounds;
mod schedule_faults;
mod server_holds;
mod settings_mistakes;
mod slow_servers;
mod start_order;
mod wide_jobs;

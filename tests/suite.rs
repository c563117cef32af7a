//! The integration tests, one file a feature, linked into one program. The
//! first group of modules holds models and fixtures that the others share.

mod agent_fixture;
mod job_model;
mod log_model;
mod overload_model;
mod process_group;
mod schedule_model;
mod support;

mod bad_input;
mod burst_admission;
mod catalog_versions;
mod config_versions;
mod early_end;
mod fair_sharing;
mod graceful_drain;
mod group_restart;
mod group_size;
mod job_guarantees;
mod job_path;
mod job_sizes;
mod journal_recovery;
mod lease_calls;
mod lease_renewal;
mod ledger_claims;
mod log_agreement;
mod log_exploration;
mod log_lines;
mod monthly_figures;
mod overload_recovery;
mod placement_rounds;
mod platform_wire;
mod process_failures;
mod queue_path;
mod queue_routes;
mod request_path;
mod ring_bounds;
mod run_updates;
mod schedule_faults;
mod settings_errors;
mod speed_estimates;
mod stale_answers;
mod start_queue;
mod start_table;
mod task_urgency;
mod wide_jobs;

//! The one binary: hands the command line on and exits with its outcome.

fn main() -> std::process::ExitCode {
    cactuswing::run_command_line(std::env::args_os()).into()
}

//! Entry point of the `cactuswing` binary, which runs every role and command.

fn main() -> std::process::ExitCode {
    cactuswing::run_command_line(std::env::args_os()).into()
}

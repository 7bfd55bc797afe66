//! Command-line tool of quetzalpin: settings, status, routing decisions, quickstart, fault
//! campaigns and benchmarks.

mod bench;
mod commands;
mod errors;
mod flags;
mod operator_client;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Quetzalpin::from_env_or_exit();
    match commands::run(flags) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("quetzalpin: {error}");
            error.exit_code()
        }
    }
}

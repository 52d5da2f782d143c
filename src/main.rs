//! `lavenderhatch`, the operator's command-line tool.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cmd::command().get_matches();
    match cmd::run(&matches) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::from(cmd::EXIT_FAILURE)
        }
    }
}

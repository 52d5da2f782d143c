//! Runs the script cases of the second review: `review-2 CASE RECORD`, with the cause of the fault
//! left out if `TROUBLE` is 0.

mod backend;
mod deployment;
mod false_health;
mod foreign_heartbeat;
mod http;
mod late_heartbeats;
mod machine;
mod msgpack;
mod pipelined_heads;
mod record;
mod slow_bodies;
mod store;

use std::env;
use std::io;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let result = match args.get(1).map(String::as_str) {
        Some("false-health") => false_health::run(Path::new(&args[2]), has_trouble),
        Some("foreign-heartbeat") => foreign_heartbeat::run(Path::new(&args[2]), has_trouble),
        Some("late-heartbeats") => late_heartbeats::run(Path::new(&args[2]), has_trouble),
        Some("slow-bodies") => slow_bodies::run(Path::new(&args[2]), has_trouble),
        Some("pipelined-heads") => pipelined_heads::run(Path::new(&args[2]), has_trouble),
        _ => Err(io::Error::other("usage: review-2 CASE RECORD")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case cannot run: {err}");
            ExitCode::from(2)
        }
    }
}

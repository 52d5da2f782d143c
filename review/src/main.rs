//! Runs one case of the review. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod backend;
mod cases;
mod client;
mod daemon;
mod http;
mod link;
mod msgpack;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// What a case runs in.
pub struct Setting {
    pub record: Record,
    /// Folder for settings and logs, removed at the end.
    pub dir: PathBuf,
    /// Loopback address of this run, without its last number.
    pub net: String,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(record.as_ref()).expect("the record can be written");
    let pid = std::process::id();
    let dir = std::env::temp_dir().join(format!("lavenderhatch-review-{pid}"));
    std::fs::create_dir_all(&dir).expect("a folder for settings and logs");
    let setting = Setting {
        record: record.clone(),
        dir: dir.clone(),
        net: format!("127.{}.{}", 20 + pid / 250 % 200, 1 + pid % 250),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.line(format!("case {case}, disruption: {}", setting.has_trouble));
    let result =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(&case, &setting)));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    match result {
        Ok(Ok(true)) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Ok(false)) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Err(reason)) => {
            record.line(format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.line("the case could not run: it has panicked");
            ExitCode::from(2)
        }
    }
}

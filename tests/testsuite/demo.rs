//! The demonstration.

use std::process::{Command, Stdio};

/// Guards against a demonstration that cuts off a caller or does not come to its end.
#[test]
fn demonstration_cuts_no_call() {
    let output = Command::new(env!("CARGO_BIN_EXE_lavenderhatch"))
        .args(["demo", "--seconds", "1"])
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{stdout}");
    for line in [
        "version 1 (the sample mesh): in force on 5 of 5 daemons",
        "version 2 (planned stop of orders-1): in force on 5 of 5 daemons",
        "cut off or in doubt: 0",
    ] {
        assert!(stdout.contains(line), "{line} is not in {stdout}");
    }
}

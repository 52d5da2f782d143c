//! Clients that send several safe requests before the first one is answered, each of them inside the
//! limits. Checks whether processes stay within the memory of their machines.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, send_ordinary, wait_until_ready};
use crate::http;
use crate::machine::{MEMORY_MB, Machine};
use crate::record::{CROWD, Record};

const MACHINES: usize = 4;
/// Machines to which the crowd comes.
const CROWDED: usize = 2;
/// Crowds that come to a machine one after the other, until its process has ended [`MAX_ENDS`] times.
const ROUNDS: u32 = 4;
/// Clients of the crowd on a machine, fewer than the 520 connections that a daemon serves there.
const CLIENTS: u32 = 500;
/// Requests that a client sends before the first one is answered.
const PIPELINED: u32 = 16;
/// Header lines of each request, besides the four that the platform's clients send.
const HEADER_LINES: u32 = 40;
/// The rule: ends of a process on a machine, and machines on which they happen.
const MAX_ENDS: u32 = 3;
const MAX_MACHINES: usize = 2;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs the case. Returns whether the rule held.
pub fn run(path: &Path, has_trouble: bool) -> io::Result<bool> {
    let services = ["orders"; MACHINES];
    deployment::run(
        path,
        &services,
        |_| true,
        |machines, _, record| check(machines, record, has_trouble),
    )
}

fn check(machines: &[Arc<Machine>], record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let is_over = Arc::new(AtomicBool::new(false));
    let ordinary: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (machine, record, is_over) = (
                Arc::clone(machine),
                Arc::clone(record),
                Arc::clone(&is_over),
            );
            thread::spawn(move || send_ordinary(&machine, &record, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        let crowds: Vec<_> = machines[..CROWDED]
            .iter()
            .map(|machine| {
                let (machine, record) = (Arc::clone(machine), Arc::clone(record));
                thread::spawn(move || {
                    (1..=ROUNDS).try_for_each(|round| send_crowd(&machine, round, &record))
                })
            })
            .collect();
        for crowd in crowds {
            crowd
                .join()
                .map_err(|_| io::Error::other("a crowd has failed"))??;
        }
    } else {
        thread::sleep(Duration::from_secs(15));
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, SeqCst);
    let mut answered = 0;
    for thread in ordinary {
        answered += thread.join().unwrap_or(0);
    }
    let mut broken_on = 0;
    for machine in machines {
        let (ends, peak) = (machine.ends.load(SeqCst), machine.peak_mb.load(SeqCst));
        record.line(&format!(
            "{}: its process has ended by itself {ends} times, {peak} MB resident at most of {MEMORY_MB}",
            machine.name
        ));
        broken_on += usize::from(ends >= MAX_ENDS);
    }
    record.line(&format!("ordinary requests answered with 200: {answered}"));
    record.line(&format!(
        "requests of the crowd run: {}",
        record.crowd_runs.load(SeqCst)
    ));
    if answered == 0 {
        return Err(io::Error::other("no ordinary request was answered"));
    }
    Ok(broken_on < MAX_MACHINES)
}

/// Sends the requests of all clients of a crowd and reads the answers.
fn send_crowd(machine: &Machine, round: u32, record: &Record) -> io::Result<()> {
    if machine.ends.load(SeqCst) >= MAX_ENDS {
        return Ok(());
    }
    // The platform takes a second to find that the process has ended.
    thread::sleep(Duration::from_millis(1500));
    wait_until_ready(machine)?;
    let ends = machine.ends.load(SeqCst);
    let mut streams = Vec::new();
    let mut sent = 0;
    for client in 0..CLIENTS {
        let requests: String = (0..PIPELINED)
            .map(|at| request(&machine.name, round, client, at))
            .collect();
        let Ok(mut stream) = TcpStream::connect(machine.outbound()) else {
            break;
        };
        // All of it fits the buffers of the connection and of the daemon.
        stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
        if stream.write_all(requests.as_bytes()).is_err() {
            break;
        }
        sent += PIPELINED;
        streams.push(stream);
    }
    let head = request(&machine.name, round, 0, 0).len();
    record.line(&format!(
        "{} round {round}: {} clients have sent {sent} requests of {head} bytes",
        machine.name,
        streams.len()
    ));
    let end = Instant::now() + ANSWER_TIMEOUT;
    let mut answers = [0; 3];
    for stream in streams {
        let mut reader = BufReader::new(stream);
        for _ in 0..PIPELINED {
            let left = end
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1));
            reader.get_ref().set_read_timeout(Some(left))?;
            match http::read(&mut reader).map(|answer| answer.status()) {
                Ok(200) => answers[0] += 1,
                Ok(_) => answers[1] += 1,
                Err(_) => {
                    answers[2] += 1;
                    break;
                }
            }
        }
    }
    let [served, refused, ended] = answers;
    let is_ended = machine.ends.load(SeqCst) > ends;
    record.line(&format!(
        "{} round {round}: answered with 200: {served}, with another status: {refused}, connections that \
         ended without an answer: {ended}, its process has ended: {is_ended}",
        machine.name
    ));
    Ok(())
}

fn request(machine: &str, round: u32, client: u32, at: u32) -> String {
    let id = format!("{CROWD}{machine}-{round}-{client}-{at}");
    let fields: String = (0..HEADER_LINES)
        .map(|n| format!("X-Field-{n:02}: {}\r\n", "v".repeat(24)))
        .collect();
    format!(
        "GET /stock/{at} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n{fields}\r\n"
    )
}

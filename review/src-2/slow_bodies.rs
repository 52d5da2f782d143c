//! Clients that send chunked bodies in very small chunks and stay open. Checks whether a machine that
//! says it is ready takes new connections of ordinary clients.

use std::collections::HashSet;
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment;
use crate::http;
use crate::machine::Machine;
use crate::record::{CROWD, Record};

/// The bound `stable_window` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// The rule: clients that try.
const MIN_CLIENTS: usize = 7;
const CLIENTS: usize = 8;
/// Clients of the crowd.
const SLOW_CLIENTS: usize = 560;
/// Time between two chunks of one byte.
const CHUNK_INTERVAL: Duration = Duration::from_millis(500);
const CROWD_TIME: Duration = Duration::from_secs(20);
const CALM_TIME: Duration = Duration::from_secs(4);

/// A new connection of an ordinary client, with the time of its end.
struct Attempt {
    client: usize,
    at: Instant,
    /// Whether any byte of an answer has come on it.
    is_taken: bool,
}

/// Runs the case. Returns whether the rule held.
pub fn run(path: &Path, has_trouble: bool) -> io::Result<bool> {
    let services = ["orders"; 3];
    deployment::run(
        path,
        &services,
        |_| true,
        |machines, _, record| check(&machines[0], record, has_trouble),
    )
}

fn check(machine: &Arc<Machine>, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (machine, record, is_over) = (
                Arc::clone(machine),
                Arc::clone(record),
                Arc::clone(&is_over),
            );
            thread::spawn(move || connect_repeatedly(client, &machine, &record, &is_over))
        })
        .collect();
    thread::sleep(CALM_TIME);
    let unready_before = machine.failed_checks.load(SeqCst);
    let start = Instant::now();
    match has_trouble {
        true => send_slowly(machine, record),
        false => thread::sleep(CROWD_TIME),
    }
    let end = Instant::now();
    let unready = machine.failed_checks.load(SeqCst) - unready_before;
    is_over.store(true, SeqCst);
    let attempts = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default());
    let mut attempts: Vec<Attempt> = attempts.collect();
    attempts.sort_by_key(|attempt| attempt.at);
    if !attempts
        .iter()
        .any(|attempt| attempt.is_taken && attempt.at < start)
    {
        return Err(io::Error::other(
            "no connection was taken before the crowd came",
        ));
    }
    attempts.retain(|attempt| (start..end).contains(&attempt.at));
    let taken = attempts.iter().filter(|attempt| attempt.is_taken).count();
    let (gap, trying) = longest_gap(&attempts, start, end);
    record.line(&format!(
        "in {:?}: {} new connections, {taken} taken; none of {trying} clients in {gap:?}; readiness checks \
         that were not answered with 200: {unready}",
        end - start,
        attempts.len(),
    ));
    Ok(unready > 0 || gap < STABLE_WINDOW || trying < MIN_CLIENTS)
}

/// Returns the longest time in which no connection was taken, and the number of clients that tried.
fn longest_gap(attempts: &[Attempt], start: Instant, end: Instant) -> (Duration, usize) {
    let mut longest = (Duration::ZERO, 0);
    let mut since = start;
    let mut clients = HashSet::new();
    let bounds = attempts.iter().map(|attempt| (attempt.at, Some(attempt)));
    for (at, attempt) in bounds.chain([(end, None)]) {
        if let Some(attempt) = attempt.filter(|attempt| !attempt.is_taken) {
            clients.insert(attempt.client);
            continue;
        }
        longest = longest.max((at - since, clients.len()));
        since = at;
        clients.clear();
    }
    longest
}

fn connect_repeatedly(
    client: usize,
    machine: &Machine,
    record: &Record,
    is_over: &AtomicBool,
) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for number in 0.. {
        if is_over.load(SeqCst) {
            break;
        }
        let id = format!("client-{client}-{number}");
        let headers = format!("Host: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n");
        let answer = http::call(machine.outbound(), "GET /stock/1 HTTP/1.1", &headers, b"");
        match &answer {
            Ok(answer) => record.line(&format!("{id} sent, answered {}", answer.status())),
            Err(err) => record.line(&format!("{id} sent, no answer: {err}")),
        }
        attempts.push(Attempt {
            client,
            at: Instant::now(),
            is_taken: answer.is_ok(),
        });
        thread::sleep(Duration::from_millis(200));
    }
    attempts
}

/// Sends the bodies of all clients of the crowd, a chunk of one byte at a time. A client whose
/// connection ends connects again.
fn send_slowly(machine: &Machine, record: &Record) {
    let end = Instant::now() + CROWD_TIME;
    let mut streams: Vec<Option<TcpStream>> = (0..SLOW_CLIENTS).map(|_| None).collect();
    let mut number = 0;
    let mut bytes = 0;
    while Instant::now() < end {
        let round = Instant::now();
        for slot in &mut streams {
            if slot.is_none() {
                number += 1;
                *slot = open(machine, number).ok();
            }
            if let Some(stream) = slot {
                match is_open(stream) && stream.write_all(b"1\r\nz\r\n").is_ok() {
                    true => bytes += 1,
                    false => *slot = None,
                }
            }
        }
        thread::sleep(CHUNK_INTERVAL.saturating_sub(round.elapsed()));
    }
    let open = streams.iter().flatten().count();
    record.line(&format!(
        "crowd: {SLOW_CLIENTS} clients have sent the heads of {number} requests and {bytes} bytes of bodies, {open} are open"
    ));
}

fn open(machine: &Machine, number: u32) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&machine.outbound(), Duration::from_secs(1))?;
    let head = format!(
        "POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {CROWD}{number}\r\nDeadline-Ms: 2000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Whether the other side has neither answered nor ended the connection.
fn is_open(stream: &TcpStream) -> bool {
    let read = BufReader::with_capacity(1, stream).read(&mut [0]);
    read.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
}

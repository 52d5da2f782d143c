//! A link of limited bandwidth in front of a port.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// Segment size of an Ethernet link, in bytes.
const SEGMENT_BYTES: i32 = 1460;
/// Receive buffer of the link, in bytes, so that the other end holds what the link has not taken.
const BUFFER_BYTES: i32 = 64 * 1024;

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, addr: *const SocketAddrIn, length: u32) -> i32;
}

#[repr(C)]
struct SocketAddrIn {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects with the segment size and the window of a link between two machines. Both must be set
/// before the connection is made.
fn connect_as_link(target: SocketAddr) -> Option<TcpStream> {
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(target) = target else {
        return None;
    };
    let addr = SocketAddrIn {
        family: INET as u16,
        port: target.port().to_be_bytes(),
        ip: target.ip().octets(),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(INET, STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from(OwnedFd::from_raw_fd(fd));
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &BUFFER_BYTES, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        (connect(fd, &addr, 16) == 0).then_some(stream)
    }
}

pub struct Link {
    pub addr: SocketAddr,
}

impl Link {
    pub fn start(ip: &str, target: SocketAddr, mbps: f64, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the link");
        let addr = listener.local_addr().unwrap();
        let record = record.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Some(server) = connect_as_link(target) else {
                    continue;
                };
                let (from, to) = (caller.try_clone().unwrap(), server.try_clone().unwrap());
                thread::spawn(move || carry(from, to, mbps, None));
                let record = record.clone();
                thread::spawn(move || carry(server, caller, mbps, Some(record)));
            }
        });
        Self { addr }
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, mbps: f64, record: Option<Record>) {
    let mut chunk = [0; 1460];
    let mut total = 0;
    let mut free_at = Instant::now();
    loop {
        match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                total += count;
                let now = Instant::now();
                free_at =
                    free_at.max(now) + Duration::from_secs_f64(count as f64 * 8.0 / (mbps * 1e6));
                thread::sleep(free_at.saturating_duration_since(now));
                if to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
        }
    }
    if let Some(record) = &record {
        record.line(format!(
            "link: the daemon has closed the connection after {total} bytes"
        ));
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

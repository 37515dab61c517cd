//! A client that opens a connection for each request.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

use crate::http::{self, Message};

/// Sends a request and returns the response.
pub fn send(
    address: SocketAddr,
    path: &str,
    attempt: &str,
    key: &str,
    remaining_ms: u64,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(remaining_ms + 500)))?;
    let body = "a pass";
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Remaining-Milliseconds: {remaining_ms}\r\nAuthorization: Bearer {key}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let response = http::read(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
}

/// Asks whether a host is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n")?;
        let response = http::read(&mut BufReader::new(stream))?;
        Ok(response.map_or(0, |response| response.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

/// Connects like a client on a link with small windows: packets of 1,448 bytes and a receive buffer of
/// `buffer` bytes.
pub fn connect_small(address: SocketAddr, buffer: i32) -> io::Result<TcpStream> {
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    }
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: plain system calls; the stream owns the descriptor from its creation on.
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        // SO_RCVBUF of SOL_SOCKET, and TCP_MAXSEG of IPPROTO_TCP.
        setsockopt(descriptor, 1, 8, &buffer, 4);
        setsockopt(descriptor, 6, 2, &1_448, 4);
        let mut raw = [0_u8; 16];
        raw[..2].copy_from_slice(&2_u16.to_ne_bytes());
        raw[2..4].copy_from_slice(&address.port().to_be_bytes());
        raw[4..8].copy_from_slice(&address.ip().octets());
        if connect(descriptor, raw.as_ptr(), 16) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

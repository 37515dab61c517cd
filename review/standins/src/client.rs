//! Clients and the platform's balancer.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

use crate::http::{read_body, read_head, Message};

/// Asks for readiness as the platform does; returns the status, or `None` if there is no response.
pub fn probe(address: SocketAddr) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(800))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: edge\r\n\r\n").ok()?;
    let mut reader = BufReader::new(stream);
    Some(read_head(&mut reader).ok()??.status())
}

/// Sends one request on a new connection and reads the whole response.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.try_clone()?.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut message)?;
    Ok(message)
}

/// Connects over a link like an Ethernet one: packets of 1,448 bytes and a receive buffer of
/// `buffer` bytes, so that what the client has not read stays with the sender.
pub fn connect_small(address: SocketAddr, buffer: i32) -> io::Result<TcpStream> {
    extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    }
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: plain system calls; the descriptor is owned by the stream from its creation on.
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

//! System calls that the standard library doesn't offer.

use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Makes the next close of the connection send a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1_i32, 0];
    // SAFETY: a plain system call with a valid descriptor. SO_LINGER of SOL_SOCKET.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// Changes how many connections wait to be accepted. Beyond that, the system drops opening packets.
pub fn set_backlog(listener: &TcpListener, backlog: i32) {
    // SAFETY: a plain system call with a valid descriptor.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

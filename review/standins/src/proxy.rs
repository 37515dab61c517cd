//! A link between one host and one worker, which can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::socket;

/// Bytes pass in both directions.
pub const OPEN: u8 = 0;
/// Nothing passes, and opening packets are dropped.
pub const CUT: u8 = 1;
/// Requests pass, answers don't. Connections are opened.
pub const DEAF: u8 = 2;
/// Open connections are reset. New ones are not.
pub const RESET: u8 = 3;
/// The link is gone for good.
pub const GONE: u8 = 4;

/// The worker has ended: open connections end with its own, new ones are refused.
pub const CLOSED: u8 = 5;

/// Time between two looks at the state of the link.
const TICK: Duration = Duration::from_millis(2);

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
}

/// Gets the port from which each connection to the worker is opened.
pub type Opened = Arc<dyn Fn(u16) + Send + Sync>;

impl Proxy {
    pub fn start(target: SocketAddr, opened: Opened) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(AtomicU8::new(OPEN));
        let shared = Arc::clone(&state);
        thread::spawn(move || accept(&listener, address, target, &shared, &opened));
        Self { address, state }
    }

    pub fn state(&self) -> u8 {
        self.state.load(Ordering::SeqCst)
    }

    pub fn set(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, own: SocketAddr, target: SocketAddr, state: &Arc<AtomicU8>, opened: &Opened) {
    listener.set_nonblocking(true).expect("a socket");
    // Connections that fill the backlog while the link is cut.
    let mut fillers = Vec::new();
    loop {
        match state.load(Ordering::SeqCst) {
            GONE | CLOSED => return,
            CUT => {
                if fillers.is_empty() {
                    socket::set_backlog(listener, 0);
                    for _ in 0..3 {
                        fillers.extend(TcpStream::connect_timeout(&own, Duration::from_millis(10)));
                    }
                }
            }
            _ => {
                if !fillers.is_empty() {
                    fillers.clear();
                    socket::set_backlog(listener, 128);
                }
                while let Ok((stream, _)) = listener.accept() {
                    connect(stream, target, state, opened);
                }
            }
        }
        thread::sleep(TICK);
    }
}

fn connect(near: TcpStream, target: SocketAddr, state: &Arc<AtomicU8>, opened: &Opened) {
    let _ = near.set_nonblocking(false);
    let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_millis(300)) else {
        // The worker's end of the link: as if it had refused the connection itself.
        socket::reset_on_close(&near);
        return;
    };
    if let Ok(address) = far.local_addr() {
        opened(address.port());
    }
    let reset = Arc::new(AtomicBool::new(false));
    for (from, to, is_answer) in [(&near, &far, false), (&far, &near, true)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
        let _ = from.set_nodelay(true);
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let (state, reset) = (Arc::clone(state), Arc::clone(&reset));
        let _ = thread::Builder::new()
            .stack_size(64 << 10)
            .spawn(move || pump(from, to, is_answer, &state, &reset));
    }
}

/// Copies bytes in one direction. Once `reset` is set, both directions end, and the last one to end
/// resets the connections.
fn pump(mut from: TcpStream, mut to: TcpStream, is_answer: bool, state: &AtomicU8, reset: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    let abort = |from: &TcpStream, to: &TcpStream| {
        socket::reset_on_close(from);
        socket::reset_on_close(to);
        reset.store(true, Ordering::SeqCst);
    };
    loop {
        if reset.load(Ordering::SeqCst) {
            return;
        }
        match state.load(Ordering::SeqCst) {
            RESET | GONE => return abort(&from, &to),
            CUT => {
                thread::sleep(TICK);
                continue;
            }
            DEAF if is_answer => {
                thread::sleep(TICK);
                continue;
            }
            _ => {}
        }
        match from.read(&mut buffer) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                // What was read before a cut arrives after it.
                while matches!(state.load(Ordering::SeqCst), CUT) {
                    thread::sleep(TICK);
                }
                if to.write_all(&buffer[..count]).is_err() {
                    return abort(&from, &to);
                }
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return abort(&from, &to),
        }
    }
}

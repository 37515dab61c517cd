//! Log lines before a reader that is slow, stuck or gone.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use filbertstage_telemetry::log::{MAX_PENDING_BYTES, Writer};
use parking_lot::Mutex;

/// A reader that takes nothing until it is let go, and then everything.
struct Stuck {
    taken: Arc<Mutex<Vec<u8>>>,
    go: Receiver<()>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.taken.lock().is_empty() {
            // The test lets go or ends.
            let _ = self.go.recv();
        }
        self.taken.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stuck() -> (Writer, Arc<Mutex<Vec<u8>>>, Sender<()>) {
    let taken = Arc::new(Mutex::new(Vec::new()));
    let (go, waits) = channel();
    let reader = Stuck {
        taken: Arc::clone(&taken),
        go: waits,
    };
    (Writer::start(reader).unwrap(), taken, go)
}

#[test]
fn a_stuck_reader_holds_nobody_up_and_is_told_what_it_missed() {
    let (mut lines, taken, go) = stuck();
    let started = Instant::now();
    let line = "event=placed ".repeat(10);
    let count = 4 * MAX_PENDING_BYTES / line.len();
    for _ in 0..count {
        writeln!(lines, "{line}").unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(1), "it waited");
    go.send(()).unwrap();
    while !String::from_utf8_lossy(&taken.lock()).contains("lines_dropped") {
        assert!(started.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(5));
    }
    let text = String::from_utf8(taken.lock().clone()).unwrap();
    assert!(text.len() < 3 * MAX_PENDING_BYTES, "{} bytes", text.len());
    assert!(
        text.lines()
            .all(|line| line.starts_with("event=placed") || line.contains("dropped"))
    );
}

#[test]
fn the_last_lines_of_a_process_are_written_before_it_ends() {
    let (mut lines, taken, go) = stuck();
    go.send(()).unwrap();
    write!(lines, "event=").unwrap();
    writeln!(lines, "drained").unwrap();
    lines.flush().unwrap();
    assert_eq!(&*taken.lock(), b"event=drained\n");
}

#[test]
fn ending_does_not_wait_long_for_a_stuck_reader() {
    let (mut lines, _taken, _go) = stuck();
    writeln!(lines, "event=drained").unwrap();
    let started = Instant::now();
    lines.flush().unwrap();
    assert!(started.elapsed() < Duration::from_secs(1));
}

//! Tests of the log writer with an output that blocks.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use filbertstage_telemetry::log::{MAX_PENDING_BYTES, Writer};
use parking_lot::Mutex;

/// An output that blocks in the first write until it is released.
struct BlockedOutput {
    written: Arc<Mutex<Vec<u8>>>,
    released: Receiver<()>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.written.lock().is_empty() {
            // The call returns when the test releases the output or ends, which closes the channel.
            let _ = self.released.recv();
        }
        self.written.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_writer() -> (Writer, Arc<Mutex<Vec<u8>>>, Sender<()>) {
    let written = Arc::new(Mutex::new(Vec::new()));
    let (release, receiver) = channel();
    let output = BlockedOutput {
        written: Arc::clone(&written),
        released: receiver,
    };
    (Writer::start(output).unwrap(), written, release)
}

#[test]
fn writes_do_not_wait_for_a_blocked_output_and_dropped_lines_are_reported() {
    let (mut writer, written, release) = blocked_writer();
    let started = Instant::now();
    let line = "event=placed ".repeat(10);
    let count = 4 * MAX_PENDING_BYTES / line.len();
    for _ in 0..count {
        writeln!(writer, "{line}").unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(1), "a write waited");
    release.send(()).unwrap();
    while !String::from_utf8_lossy(&written.lock()).contains("lines_dropped") {
        assert!(started.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(5));
    }
    let text = String::from_utf8(written.lock().clone()).unwrap();
    assert!(text.len() < 3 * MAX_PENDING_BYTES, "{} bytes", text.len());
    assert!(
        text.lines()
            .all(|line| line.starts_with("event=placed") || line.contains("dropped"))
    );
}

#[test]
fn flush_waits_until_the_last_lines_are_written() {
    let (mut writer, written, release) = blocked_writer();
    release.send(()).unwrap();
    write!(writer, "event=").unwrap();
    writeln!(writer, "drained").unwrap();
    writer.flush().unwrap();
    assert_eq!(&*written.lock(), b"event=drained\n");
}

#[test]
fn flush_does_not_wait_long_for_a_blocked_output() {
    let (mut writer, _written, _release) = blocked_writer();
    writeln!(writer, "event=drained").unwrap();
    let started = Instant::now();
    writer.flush().unwrap();
    assert!(started.elapsed() < Duration::from_secs(1));
}

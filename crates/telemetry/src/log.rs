//! A log writer that does not block the threads that log.
//!
//! Lines are collected in memory and written by a separate thread. If the output is slower than the
//! log, no thread waits: lines that do not fit into memory are dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};

/// Maximum number of bytes waiting to be written: about two seconds of log of a busy host.
pub const MAX_PENDING_BYTES: usize = 256 * 1_024;
/// Time for which lines are collected into one write. A killed process loses the lines of that
/// time.
const BATCH_WINDOW: Duration = Duration::from_millis(20);
/// Maximum time that a flush waits, such as for the last lines before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Default)]
struct State {
    pending: Vec<u8>,
    dropped: u64,
    writing: bool,
}

#[derive(Default)]
struct Buffer {
    state: Mutex<State>,
    not_empty: Condvar,
    drained: Condvar,
}

/// A writer of log lines that never waits for its output.
pub struct Writer {
    buffer: Arc<Buffer>,
    line: Vec<u8>,
}

impl Writer {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let buffer = Arc::new(Buffer::default());
        let writer = Arc::clone(&buffer);
        thread::Builder::new()
            .name("lines".to_owned())
            .stack_size(64 * 1_024)
            .spawn(move || writer.write_out(out))?;
        Ok(Self {
            buffer,
            line: Vec::new(),
        })
    }
}

impl Write for Writer {
    /// Adds bytes to the current line. A newline at the end of `bytes` queues the line for output.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.last() == Some(&b'\n') {
            self.buffer.push(&self.line);
            self.line.clear();
        }
        Ok(bytes.len())
    }

    /// Waits up to 200 ms until all queued lines are written. Lines that are still queued then are
    /// written later, unless the process exits first.
    fn flush(&mut self) -> io::Result<()> {
        self.buffer.wait_until_empty();
        Ok(())
    }
}

impl Buffer {
    fn push(&self, line: &[u8]) {
        let mut state = self.state.lock();
        if state.pending.len() + line.len() > MAX_PENDING_BYTES {
            state.dropped += 1;
            return;
        }
        let was_empty = state.pending.is_empty();
        state.pending.extend_from_slice(line);
        if was_empty && !state.writing {
            self.not_empty.notify_one();
        }
    }

    fn wait_until_empty(&self) {
        let mut state = self.state.lock();
        let busy = |state: &mut State| state.writing || !state.pending.is_empty();
        self.drained.wait_while_for(&mut state, busy, FLUSH_TIMEOUT);
    }

    fn write_out(&self, mut out: impl Write) {
        let mut batch = Vec::new();
        loop {
            let dropped = self.take_batch(&mut batch);
            // An error means that the output is closed, and there is nowhere else to report it.
            let _ = out.write_all(&batch).and_then(|()| {
                if dropped > 0 {
                    writeln!(out, "[WARN] event=lines_dropped count={dropped}")?;
                }
                out.flush()
            });
            batch.clear();
            self.finish_batch();
        }
    }

    /// Waits for pending lines, moves them into `batch`, and returns the number of lines dropped
    /// since the previous batch.
    fn take_batch(&self, batch: &mut Vec<u8>) -> u64 {
        let mut state = self.state.lock();
        while state.pending.is_empty() {
            self.not_empty.wait(&mut state);
        }
        state.writing = true;
        std::mem::swap(&mut state.pending, batch);
        std::mem::take(&mut state.dropped)
    }

    fn finish_batch(&self) {
        if self.state.lock().pending.is_empty() {
            thread::sleep(BATCH_WINDOW);
        }
        let mut state = self.state.lock();
        state.writing = false;
        self.drained.notify_all();
    }
}

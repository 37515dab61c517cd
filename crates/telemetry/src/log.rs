//! Log lines that never hold up the thread that writes them.
//!
//! Lines gather in memory and a thread of their own writes them out. A reader that is slower than
//! the lines come costs lines and no time: what does not fit is dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};

/// Most bytes that wait to be written: about two seconds of a busy host's lines.
pub const MAX_PENDING_BYTES: usize = 256 * 1_024;
/// Time in which lines gather for one write; what a killed process loses of them.
const BATCH_WINDOW: Duration = Duration::from_millis(20);
/// Longest wait for the last lines of a process that ends.
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

/// A writer of lines that never waits for what it writes to.
pub struct Writer {
    buffer: Arc<Buffer>,
    line: Vec<u8>,
}

impl Writer {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// The system's error when no thread can be started.
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
    /// Takes bytes; a line becomes visible with its end.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.last() == Some(&b'\n') {
            self.buffer.push(&self.line);
            self.line.clear();
        }
        Ok(bytes.len())
    }

    /// Waits a short time until everything was written.
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
            // Whoever reads the lines has gone; there is nowhere else to say so.
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

    /// Waits for lines, takes them, and returns how many were dropped before.
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

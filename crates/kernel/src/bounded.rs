//! A writer of log lines that never blocks whoever logs.
//!
//! Lines wait for a thread of their own in a queue of bounded length. While the output takes none, for
//! example because a reader stalls, lines past the bound are left out; their number is told with the next
//! line that is taken.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

use crate::logs::write_line;

/// Lines that wait at most: a few seconds of a busy agent's.
const MOST_WAITING: usize = 1_024;
/// Longest wait for the lines at the end of the process, in milliseconds.
const FLUSH_MS: u64 = 200;

/// One step of the writing thread.
enum WriterStep {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writes lines from a thread of its own.
pub struct BoundedWriter {
    steps: SyncSender<WriterStep>,
    left_out: AtomicU64,
    is_closed: Arc<AtomicBool>,
}

impl BoundedWriter {
    /// Makes a writer to an output.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn new(output: Box<dyn Write + Send>) -> std::io::Result<Self> {
        let (steps, taken) = sync_channel(MOST_WAITING);
        let is_closed = Arc::new(AtomicBool::new(false));
        let closed = Arc::clone(&is_closed);
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_all(output, &taken, &closed))?;
        Ok(Self {
            steps,
            left_out: AtomicU64::new(0),
            is_closed,
        })
    }

    /// Hands a line to the thread, or counts it as left out.
    pub fn line(&self, line: Vec<u8>) {
        if self.is_closed.load(Ordering::Acquire) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let missing = self.left_out.swap(0, Ordering::Relaxed);
        let line = if missing == 0 {
            line
        } else {
            let mut told = line;
            told.splice(
                0..0,
                format!("{{\"lines_left_out\":{missing}}}\n").into_bytes(),
            );
            told
        };
        match self.steps.try_send(WriterStep::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.left_out.fetch_add(missing + 1, Ordering::Relaxed);
            }
        }
    }

    /// Number of lines that were left out since the last one that was taken.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::new();
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        self.line(line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, wait) = sync_channel(1);
        if self.steps.try_send(WriterStep::Flush(done)).is_ok() {
            let _is_flushed = wait.recv_timeout(Duration::from_millis(FLUSH_MS));
        }
        Ok(())
    }
}

/// Writes what comes until the writer is gone. An output that fails gets no more lines: there is nowhere
/// left to say so.
fn write_all(
    mut output: Box<dyn Write + Send>,
    taken: &Receiver<WriterStep>,
    is_closed: &AtomicBool,
) {
    while let Ok(step) = taken.recv() {
        match step {
            WriterStep::Line(line) => {
                if output.write_all(&line).is_err() {
                    is_closed.store(true, Ordering::Release);
                    return;
                }
            }
            WriterStep::Flush(done) => {
                let is_flushed = output.flush().is_ok();
                if done.send(()).is_err() || !is_flushed {
                    is_closed.store(true, Ordering::Release);
                    return;
                }
            }
        }
    }
}

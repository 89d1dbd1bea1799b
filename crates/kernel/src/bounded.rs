//! Log writer that never blocks the thread that logs.
//!
//! A separate thread writes the lines from a bounded queue. If the queue is full, for example because the
//! reader of the output stalls, further lines are dropped; their number is written before the next line that
//! enters the queue.

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

/// Holds the lines of a few seconds of a busy agent.
const MAX_QUEUED_LINES: usize = 1_024;
/// Maximum wait of a flush, which runs at the end of the process, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 200;

/// Command to the writing thread.
enum WriterCommand {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writes log lines from a separate thread.
pub struct BoundedWriter {
    sender: SyncSender<WriterCommand>,
    dropped_count: AtomicU64,
    is_closed: Arc<AtomicBool>,
}

impl BoundedWriter {
    /// Creates a writer and starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// The system's error if the thread cannot be started.
    pub fn new(output: Box<dyn Write + Send>) -> std::io::Result<Self> {
        let (sender, commands) = sync_channel(MAX_QUEUED_LINES);
        let is_closed = Arc::new(AtomicBool::new(false));
        let closed = Arc::clone(&is_closed);
        thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_all(output, &commands, &closed))?;
        Ok(Self {
            sender,
            dropped_count: AtomicU64::new(0),
            is_closed,
        })
    }

    /// Enqueues a line for the thread, or drops and counts it if the queue is full or the output has failed.
    pub fn enqueue(&self, line: Vec<u8>) {
        if self.is_closed.load(Ordering::Acquire) {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped_lines = self.dropped_count.swap(0, Ordering::Relaxed);
        let line = if dropped_lines == 0 {
            line
        } else {
            let mut with_count = line;
            with_count.splice(
                0..0,
                format!("{{\"lines_left_out\":{dropped_lines}}}\n").into_bytes(),
            );
            with_count
        };
        match self.sender.try_send(WriterCommand::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped_count
                    .fetch_add(dropped_lines + 1, Ordering::Relaxed);
            }
        }
    }

    /// Returns the number of lines dropped since the last one that was enqueued.
    #[must_use]
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count.load(Ordering::Relaxed)
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::new();
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        self.enqueue(line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, flushed) = sync_channel(1);
        if self.sender.try_send(WriterCommand::Flush(done)).is_ok() {
            let _is_flushed = flushed.recv_timeout(Duration::from_millis(FLUSH_TIMEOUT_MS));
        }
        Ok(())
    }
}

/// Executes commands until the [`BoundedWriter`] is dropped or the output fails. A failure is not reported,
/// since the logs have no other output.
fn write_all(
    mut output: Box<dyn Write + Send>,
    commands: &Receiver<WriterCommand>,
    is_closed: &AtomicBool,
) {
    while let Ok(command) = commands.recv() {
        match command {
            WriterCommand::Line(line) => {
                if output.write_all(&line).is_err() {
                    is_closed.store(true, Ordering::Release);
                    return;
                }
            }
            WriterCommand::Flush(done) => {
                let is_flushed = output.flush().is_ok();
                if done.send(()).is_err() || !is_flushed {
                    is_closed.store(true, Ordering::Release);
                    return;
                }
            }
        }
    }
}

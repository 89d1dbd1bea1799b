//! Logging never blocks, even if the reader of the output stalls or the output is closed.

use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use googletest::prelude::*;
use jy_kernel::bounded::BoundedWriter;

/// A test that hangs fails after this time.
const HANG_TIMEOUT_S: u64 = 30;

/// Far more lines than the queue of the writer holds.
const LINE_COUNT: u64 = 5_000;

/// Length of the writer's queue, as documented for operators.
const MAX_QUEUED_LINES: u64 = 1_024;

/// Output that blocks its first write until the test resumes it, and forwards what is written.
struct StalledOutput {
    resume: Receiver<()>,
    is_stalled: bool,
    written: Sender<Vec<u8>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.is_stalled {
            self.is_stalled = self.resume.recv().is_err();
        }
        let _is_received = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Output on which every write fails, and which notifies the test when the writer drops it.
struct ClosedOutput(Sender<()>);

impl Drop for ClosedOutput {
    fn drop(&mut self) {
        let _is_received = self.0.send(());
    }
}

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn enqueue_stalled_reader_counts_dropped_lines() {
    let (resume_sender, resume) = channel();
    let (written, output) = channel();
    let stalled = StalledOutput {
        resume,
        is_stalled: true,
        written,
    };
    let writer = BoundedWriter::new(Box::new(stalled)).expect("a thread");
    for _ in 0..LINE_COUNT {
        writer.enqueue(b"line\n".to_vec());
    }
    let unreported = writer.dropped_count();
    resume_sender.send(()).expect("the output waits");
    drop(writer);
    let (mut written_count, mut reported) = (0, 0);
    while let Ok(bytes) = output.recv_timeout(Duration::from_secs(HANG_TIMEOUT_S)) {
        for line in String::from_utf8(bytes).expect("text").lines() {
            let dropped_lines = line.strip_prefix("{\"lines_left_out\":");
            match dropped_lines.and_then(|text| text.strip_suffix('}')) {
                Some(dropped_lines) => reported += dropped_lines.parse::<u64>().expect("a number"),
                None => written_count += 1,
            }
        }
    }
    expect_that!(
        written_count + reported + unreported,
        eq(LINE_COUNT),
        "each line is written or counted"
    );
    expect_that!(
        written_count,
        le(MAX_QUEUED_LINES + 2),
        "no more lines are written than the queue and the writing thread hold"
    );
}

#[gtest]
fn enqueue_closed_output_counts_dropped_lines() {
    let (drop_sender, drop_receiver) = channel();
    let closed = ClosedOutput(drop_sender);
    let writer = BoundedWriter::new(Box::new(closed)).expect("a thread");
    for _ in 0..LINE_COUNT {
        writer.enqueue(b"lost\n".to_vec());
    }
    let notice = drop_receiver.recv_timeout(Duration::from_secs(HANG_TIMEOUT_S));
    expect_that!(notice, ok(anything()), "the writer drops the output");
    let before = writer.dropped_count();
    for _ in 0..LINE_COUNT {
        writer.enqueue(b"lost\n".to_vec());
    }
    expect_that!(writer.dropped_count(), eq(before + LINE_COUNT));
}

//! Logging never blocks, whatever becomes of the output.

use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use googletest::prelude::*;
use jy_kernel::bounded::BoundedWriter;

/// A hang fails the test after this long, in seconds.
const HANG_LIMIT_S: u64 = 30;

/// Lines that a test sends: far more than may wait.
const SENT: u64 = 5_000;

/// Lines that may wait, as the operators' page says.
const MOST_WAITING: u64 = 1_024;

/// An output whose reader stalls until it is told to go on, and passes on what it is given.
struct StalledOutput {
    resume: Receiver<()>,
    is_stalled: bool,
    seen: Sender<Vec<u8>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.is_stalled {
            self.is_stalled = self.resume.recv().is_err();
        }
        let _is_heard = self.seen.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// An output that is closed, and tells when nobody writes to it any more.
struct ClosedOutput(Sender<()>);

impl Drop for ClosedOutput {
    fn drop(&mut self) {
        let _is_heard = self.0.send(());
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
fn line_stalled_reader_leaves_out_and_tells() {
    let (go_on, resume) = channel();
    let (seen, output) = channel();
    let stalled = StalledOutput {
        resume,
        is_stalled: true,
        seen,
    };
    let writer = BoundedWriter::new(Box::new(stalled)).expect("a thread");
    for _ in 0..SENT {
        writer.line(b"line\n".to_vec());
    }
    let untold = writer.left_out();
    go_on.send(()).expect("the output waits");
    drop(writer);
    let (mut written, mut told) = (0, 0);
    while let Ok(bytes) = output.recv_timeout(Duration::from_secs(HANG_LIMIT_S)) {
        for line in String::from_utf8(bytes).expect("text").lines() {
            let missing = line.strip_prefix("{\"lines_left_out\":");
            match missing.and_then(|text| text.strip_suffix('}')) {
                Some(missing) => told += missing.parse::<u64>().expect("a number"),
                None => written += 1,
            }
        }
    }
    expect_that!(
        written + told + untold,
        eq(SENT),
        "each line is written or counted"
    );
    expect_that!(
        written,
        le(MOST_WAITING + 2),
        "and the one in the writer's hand"
    );
}

#[gtest]
fn line_closed_output_counts_every_line() {
    let (dropped, given_up) = channel();
    let closed = ClosedOutput(dropped);
    let writer = BoundedWriter::new(Box::new(closed)).expect("a thread");
    for _ in 0..SENT {
        writer.line(b"lost\n".to_vec());
    }
    let notice = given_up.recv_timeout(Duration::from_secs(HANG_LIMIT_S));
    expect_that!(notice, ok(anything()), "the output is given up");
    let before = writer.left_out();
    for _ in 0..SENT {
        writer.line(b"lost\n".to_vec());
    }
    expect_that!(writer.left_out(), eq(before + SENT));
}

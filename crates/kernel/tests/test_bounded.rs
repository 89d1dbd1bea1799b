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

/// An output that is closed.
struct ClosedOutput;

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
    for number in 0..5_000 {
        writer.line(format!("{number}\n").into_bytes());
    }
    let left_out = writer.left_out();
    expect_that!(left_out, ge(3_900), "the rest waits in the queue");
    go_on.send(()).expect("the output waits");
    let next = || output.recv_timeout(Duration::from_secs(HANG_LIMIT_S));
    expect_that!(next().as_deref().ok(), some(eq(b"0\n".as_slice())));
    let mut is_told = false;
    for _ in 0..5_000 {
        writer.line(b"later\n".to_vec());
        let text = String::from_utf8(next().expect("a line")).expect("text");
        is_told = is_told || text.contains(&format!("\"lines_left_out\":{left_out}"));
        if is_told {
            break;
        }
    }
    expect_that!(is_told, eq(true));
}

#[gtest]
fn line_closed_output_goes_on() {
    let writer = BoundedWriter::new(Box::new(ClosedOutput)).expect("a thread");
    for _ in 0..5_000 {
        writer.line(b"lost\n".to_vec());
    }
    expect_that!(writer.left_out(), ge(3_900));
}

//! Takes lines without waiting, and writes them from a thread of its own.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Lines that wait for the writer at most, about 1 MB.
pub const QUEUE_LINES: usize = 4096;
/// Time for which lines are gathered before they are written, to save wake-ups and calls.
const GATHER: Duration = Duration::from_millis(100);

/// Time between two looks at the lines that wait, while the process ends.
const DRAIN_LOOK: Duration = Duration::from_millis(5);

/// Lets the last lines of a process out before it ends.
#[derive(Clone, Debug)]
pub struct LogDrain {
    waiting: Arc<AtomicUsize>,
}

impl LogDrain {
    /// Waits until all lines are written, or that takes longer than `limit`.
    pub fn wait(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            std::thread::sleep(DRAIN_LOOK);
        }
    }
}

/// Hands lines to the writer, or counts them as lost when it does not keep up.
#[derive(Debug)]
pub struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
    waiting: Arc<AtomicUsize>,
}

impl LineQueue {
    /// Tells when all lines are written.
    pub fn drain(&self) -> LogDrain {
        LogDrain { waiting: Arc::clone(&self.waiting) }
    }
}

impl Write for LineQueue {
    /// Takes one line; never waits and never fails.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(line.to_vec()).is_err() {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the thread that writes a queue's lines to `out`; it ends with the queue.
///
/// # Errors
///
/// The system's error when no thread can be started.
pub fn start_writer(out: impl Write + Send + 'static) -> io::Result<LineQueue> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let lost = Arc::new(AtomicU64::new(0));
    let waiting = Arc::new(AtomicUsize::new(0));
    let queue = LineQueue { sender, lost: Arc::clone(&lost), waiting: Arc::clone(&waiting) };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &lost, &waiting, out))?;
    Ok(queue)
}

fn write_lines(
    receiver: &Receiver<Vec<u8>>,
    lost: &AtomicU64,
    waiting: &AtomicUsize,
    mut out: impl Write,
) {
    let mut batch = Vec::new();
    while let Ok(line) = receiver.recv() {
        let mut lines = 1;
        batch.extend_from_slice(&line);
        std::thread::sleep(GATHER);
        while let Ok(line) = receiver.try_recv() {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let lost = lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("event=log_lines_lost lines={lost}\n").as_bytes());
        }
        // A reader that went away must not stop the daemon; there is nowhere else to report it.
        let _written = out.write_all(&batch);
        waiting.fetch_sub(lines, Ordering::AcqRel);
        batch.clear();
    }
}

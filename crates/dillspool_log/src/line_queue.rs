//! A bounded queue of log lines, which never blocks the caller, and the thread that writes them.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Capacity of the queue in lines, about 1 MB.
pub const QUEUE_LINES: usize = 4096;
/// Time for which lines are batched before they are written, to save wake-ups and system calls.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which [`LogDrain::wait`] polls the number of pending lines.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits for pending lines to be written before the process exits.
#[derive(Clone, Debug)]
pub struct LogDrain {
    pending: Arc<AtomicUsize>,
}

impl LogDrain {
    /// Blocks until all lines are written, for at most `timeout`.
    pub fn wait(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.pending.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }
}

/// Sends lines to the writer thread; drops and counts them while the queue is full.
#[derive(Debug)]
pub struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
    pending: Arc<AtomicUsize>,
}

impl LineQueue {
    /// Returns a handle that waits for all lines to be written.
    pub fn drain(&self) -> LogDrain {
        LogDrain { pending: Arc::clone(&self.pending) }
    }
}

impl Write for LineQueue {
    /// Enqueues one line. Never blocks and never fails; a line that doesn't fit is counted as lost.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(line.to_vec()).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the thread that writes the lines of a queue to `out`. It exits when the queue is dropped.
///
/// # Errors
///
/// The operating system's error when the thread cannot be started.
pub fn start_writer(out: impl Write + Send + 'static) -> io::Result<LineQueue> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let lost = Arc::new(AtomicU64::new(0));
    let pending = Arc::new(AtomicUsize::new(0));
    let queue = LineQueue { sender, lost: Arc::clone(&lost), pending: Arc::clone(&pending) };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &lost, &pending, out))?;
    Ok(queue)
}

fn write_lines(
    receiver: &Receiver<Vec<u8>>,
    lost: &AtomicU64,
    pending: &AtomicUsize,
    mut out: impl Write,
) {
    let mut batch = Vec::new();
    while let Ok(line) = receiver.recv() {
        let mut lines = 1;
        batch.extend_from_slice(&line);
        std::thread::sleep(BATCH_INTERVAL);
        while let Ok(line) = receiver.try_recv() {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let lost = lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("event=log_lines_lost lines={lost}\n").as_bytes());
        }
        // A closed reader must not stop the daemon, and there is nowhere else to report the error.
        let _result = out.write_all(&batch);
        pending.fetch_sub(lines, Ordering::AcqRel);
        batch.clear();
    }
}

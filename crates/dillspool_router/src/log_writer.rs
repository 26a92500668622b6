//! The log: one structured line an event on standard output, bounded and never blocking.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime};

use dillspool_schema::Name;
use snafu::Snafu;

/// Lines that wait for the writer at most, about 1 MB.
const QUEUE_LINES: usize = 4096;
/// Time for which lines are gathered before they are written, to save wake-ups and calls.
const GATHER: Duration = Duration::from_millis(100);

/// Why the log cannot be set up.
#[derive(Debug, Snafu)]
pub enum LogSetupError {
    /// No thread could be started.
    #[snafu(display("cannot start the log's thread: {source}; check the limits on threads"))]
    Thread {
        /// What went wrong.
        source: io::Error,
    },
    /// A logger was there already.
    #[snafu(display("the log was set up before; set it up once in a process"))]
    Twice,
}

/// Hands lines to the writer, or counts them as lost when it does not keep up.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(line.to_vec()).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends the log to standard output.
///
/// # Errors
///
/// [`LogSetupError`] when no thread can be started or a logger was set up before.
pub fn set_up_log(host: &Name, level: log::LevelFilter) -> Result<(), LogSetupError> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let lost = Arc::new(AtomicU64::new(0));
    let queue = LineQueue { sender, lost: Arc::clone(&lost) };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, &lost))
        .map_err(|source| LogSetupError::Thread { source })?;
    let host = Name::clone(host);
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("dillspool_router", level)
        .level_for("dillspool_forward", level)
        .level_for("dillspool_roles", level)
        .level_for("dillspool_watch", level)
        .level_for("dillspool_site", level)
        .format(move |out, message, record| {
            let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let millis = now.map_or(0, |since| since.as_millis());
            let level = record.level();
            out.finish(format_args!("time_ms={millis} host={host} level={level} {message}"));
        })
        .chain(Box::new(queue) as Box<dyn Write + Send>);
    dispatch.apply().map_err(|_set| LogSetupError::Twice)
}

fn write_lines(receiver: &Receiver<Vec<u8>>, lost: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = receiver.recv() {
        batch.extend_from_slice(&line);
        std::thread::sleep(GATHER);
        while let Ok(line) = receiver.try_recv() {
            batch.extend_from_slice(&line);
        }
        let lost = lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("event=log_lines_lost lines={lost}\n").as_bytes());
        }
        // A reader that went away must not stop the daemon; there is nowhere else to report it.
        let _written = io::stdout().write_all(&batch);
        batch.clear();
    }
}

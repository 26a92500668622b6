//! A reader that stops reading holds up nobody, and what it missed is counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use dillspool_log::{QUEUE_LINES, start_writer};

/// A reader that takes nothing until it is released.
struct StuckReader {
    taken: Arc<Mutex<Vec<u8>>>,
    release: Receiver<()>,
    is_released: bool,
    done: Sender<()>,
}

impl Write for StuckReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            // Ends with an error when the sender is dropped, which releases as well.
            let _released = self.release.recv();
            self.is_released = true;
        }
        self.taken.lock().unwrap().extend_from_slice(bytes);
        self.done.send(()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct FloodCase {
    lines: usize,
    /// Whether some must be lost.
    loses: bool,
}

#[test]
fn lines_beyond_the_queue_are_counted_and_nobody_waits() {
    let cases = [
        FloodCase { lines: 10, loses: false },
        // The thread may hold one batch beside the queue.
        FloodCase { lines: 3 * QUEUE_LINES, loses: true },
    ];
    for case in cases {
        let taken = Arc::new(Mutex::new(Vec::new()));
        let ((releaser, release), (done, written)) = (channel(), channel());
        let reader = StuckReader { taken: Arc::clone(&taken), release, is_released: false, done };
        let mut queue = start_writer(reader).expect("a thread");
        // A queue that waited for its reader would never come to the end of this loop.
        for line in 0..case.lines {
            queue.write_all(format!("line={line}\n").as_bytes()).expect("it takes the line");
        }
        drop(releaser);
        drop(queue);
        // The writer ends with the queue; then its channel does.
        while written.recv().is_ok() {}
        let text = String::from_utf8(taken.lock().unwrap().clone()).expect("text");
        let kept = text.lines().filter(|line| line.starts_with("line=")).count();
        let lost = text.lines().filter_map(|line| line.strip_prefix("event=log_lines_lost lines="));
        let lost: usize = lost.map(|count| count.parse::<usize>().expect("a number")).sum();
        assert_eq!(kept + lost, case.lines, "each line is written or counted");
        assert_eq!(lost > 0, case.loses, "{} lines", case.lines);
    }
}

/// A reader that takes what it gets.
#[derive(Clone, Default)]
struct PromptReader {
    taken: Arc<Mutex<Vec<u8>>>,
}

impl Write for PromptReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.taken.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_last_lines_are_out_before_the_process_ends() {
    let reader = PromptReader::default();
    let mut queue = start_writer(reader.clone()).expect("a thread");
    for line in 0..50 {
        queue.write_all(format!("line={line}\n").as_bytes()).expect("it takes the line");
    }
    queue.drain().wait(std::time::Duration::from_secs(10));
    let text = String::from_utf8(reader.taken.lock().unwrap().clone()).expect("text");
    assert!(text.ends_with("line=49\n"), "{text}");
}

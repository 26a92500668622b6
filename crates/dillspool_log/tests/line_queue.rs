//! A blocked reader of the log doesn't block the process, and dropped lines are counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use dillspool_log::{QUEUE_LINES, start_writer};

/// A sink that blocks writes until it is released, as a pipe does whose reader stopped reading.
struct BlockedSink {
    output: Arc<Mutex<Vec<u8>>>,
    release: Receiver<()>,
    is_released: bool,
    done: Sender<()>,
}

impl Write for BlockedSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            // Dropping the sender also releases the sink; `recv` then returns an error.
            let _result = self.release.recv();
            self.is_released = true;
        }
        self.output.lock().unwrap().extend_from_slice(bytes);
        self.done.send(()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct QueueCase {
    lines: usize,
    /// Whether some lines must be dropped.
    expects_loss: bool,
}

#[test]
fn lines_beyond_the_queue_capacity_are_counted_without_blocking() {
    let cases = [
        QueueCase { lines: 10, expects_loss: false },
        // More than the queue and the batch of the writer thread can hold.
        QueueCase { lines: 3 * QUEUE_LINES, expects_loss: true },
    ];
    for case in cases {
        let output = Arc::new(Mutex::new(Vec::new()));
        let ((release_sender, release), (done, written)) = (channel(), channel());
        let sink = BlockedSink { output: Arc::clone(&output), release, is_released: false, done };
        let mut queue = start_writer(sink).expect("a thread");
        // If the queue blocked on its reader, this loop would never finish.
        for line in 0..case.lines {
            queue.write_all(format!("line={line}\n").as_bytes()).expect("the line is accepted");
        }
        drop(release_sender);
        drop(queue);
        // The writer thread exits after the queue is dropped, which closes this channel.
        while written.recv().is_ok() {}
        let text = String::from_utf8(output.lock().unwrap().clone()).expect("text");
        let kept = text.lines().filter(|line| line.starts_with("line=")).count();
        let lost = text.lines().filter_map(|line| line.strip_prefix("event=log_lines_lost lines="));
        let lost: usize = lost.map(|count| count.parse::<usize>().expect("a number")).sum();
        assert_eq!(kept + lost, case.lines, "each line is either written or counted as lost");
        assert_eq!(lost > 0, case.expects_loss, "{} lines", case.lines);
    }
}

/// A sink that accepts all writes.
#[derive(Clone, Default)]
struct MemorySink {
    output: Arc<Mutex<Vec<u8>>>,
}

impl Write for MemorySink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.output.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn drain_waits_until_all_lines_are_written() {
    let sink = MemorySink::default();
    let mut queue = start_writer(sink.clone()).expect("a thread");
    for line in 0..50 {
        queue.write_all(format!("line={line}\n").as_bytes()).expect("the line is accepted");
    }
    queue.drain().wait(std::time::Duration::from_secs(10));
    let text = String::from_utf8(sink.output.lock().unwrap().clone()).expect("text");
    assert!(text.ends_with("line=49\n"), "{text}");
}

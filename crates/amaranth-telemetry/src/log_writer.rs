//! A background writer of log lines that never blocks the logging thread.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Capacity of the queue of lines to be written. When it is full, lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which lines are collected, so that many share one write. A process that is killed loses the
/// lines of this time.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// The sending half of the log writer.
#[derive(Debug, Clone)]
pub struct LineSender {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineSender {
    /// Enqueues a line, or drops and counts it if the queue is full.
    pub fn send(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the writer was spawned.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Spawns the thread that writes to `output`, and returns the sender of its lines.
pub fn spawn(output: impl Write + Send + 'static) -> LineSender {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    std::thread::spawn(move || write_lines(&queue, &counter, output));
    LineSender { lines, dropped }
}

/// Writes lines in batches until every sender is dropped or the output fails.
fn write_lines(queue: &Receiver<String>, dropped: &AtomicU64, mut output: impl Write) {
    let mut reported = 0;
    while let Ok(first) = queue.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let mut batch = first;
        batch.push('\n');
        while let Ok(line) = queue.try_recv() {
            batch.push_str(&line);
            batch.push('\n');
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            batch.push_str(&format!(
                "level=warn event=log_lines_dropped total={total}\n"
            ));
            reported = total;
        }
        // A failure to write the log has no other output to be reported to.
        if output
            .write_all(batch.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}

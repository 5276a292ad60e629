//! A writer of log lines that never blocks the thread that logs.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Lines that may wait to be written. Beyond them lines are dropped and counted.
const MAX_WAITING_LINES: usize = 4_096;

/// Time between two writes, so that many lines share one.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// The sending side of the writer.
#[derive(Debug, Clone)]
pub struct LineSender {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineSender {
    /// Hands a line over, or drops and counts it if too many wait.
    pub fn send(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Spawns the thread that writes to `output`, and returns the way to it.
pub fn spawn(output: impl Write + Send + 'static) -> LineSender {
    let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    std::thread::spawn(move || write_lines(&waiting, &counter, output));
    LineSender { lines, dropped }
}

/// Writes lines in batches until every sender is gone.
fn write_lines(waiting: &Receiver<String>, dropped: &AtomicU64, mut output: impl Write) {
    let mut reported = 0;
    while let Ok(first) = waiting.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let mut batch = first;
        batch.push('\n');
        while let Ok(line) = waiting.try_recv() {
            batch.push_str(&line);
            batch.push('\n');
        }
        let lost = dropped.load(Ordering::Relaxed);
        if lost > reported {
            batch.push_str(&format!(
                "level=warn event=log_lines_dropped total={lost}\n"
            ));
            reported = lost;
        }
        // There is no other place to report that the log itself can't be written.
        if output
            .write_all(batch.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}

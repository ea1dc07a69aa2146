//! A log writer that never blocks the daemon.
//!
//! Lines pass through a bounded queue to a dedicated thread. When the reader of the log stalls, the
//! queue fills and further lines are dropped; before the next line from the queue, the thread
//! writes a line with their number.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

/// Maximum number of queued lines: some seconds of a busy daemon, about 2 MB.
const QUEUE_CAPACITY: usize = 4_096;

enum Message {
    Line(Vec<u8>),
    /// Flushes all lines queued before it, then notifies the sender.
    Flush(SyncSender<()>),
}

/// Queues log lines for a dedicated writer thread.
pub(crate) struct QueuedWriter {
    tx: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl QueuedWriter {
    /// Starts the writer thread, which alone uses `out`.
    pub(crate) fn new(out: impl Write + Send + 'static) -> io::Result<QueuedWriter> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, out, &counter))?;
        Ok(QueuedWriter { tx, dropped })
    }
}

fn write_lines(rx: &Receiver<Message>, mut out: impl Write, dropped: &AtomicU64) {
    for message in rx {
        let count = dropped.swap(0, Ordering::Relaxed);
        let note = format!(
            "{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"kv\":{{\"count\":{count}}}}}\n"
        );
        let noted = if count > 0 {
            out.write_all(note.as_bytes())
        } else {
            Ok(())
        };
        let written = match message {
            Message::Line(line) => noted.and_then(|()| out.write_all(&line)),
            Message::Flush(done) => {
                let flushed = noted.and_then(|()| out.flush());
                // The caller of `flush` may have timed out.
                let _ = done.send(());
                flushed
            }
        };
        // The log's reader has closed its end, so no further line can be written.
        if written.is_err() {
            return;
        }
    }
}

impl LogWriter for QueuedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        flexi_logger::json_format(&mut line, now, record)?;
        line.push(b'\n');
        if self.tx.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(tx)).is_ok() {
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Longest time that a flush waits for the last lines when the process ends.
const FLUSH_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

#[cfg(test)]
mod tests;

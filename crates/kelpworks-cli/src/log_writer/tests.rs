//! Tests of the queued log writer with a stalled reader.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Level;
use log::Record;

use super::QUEUE_CAPACITY;
use super::QueuedWriter;

#[derive(Default)]
struct State {
    is_open: bool,
    written: Vec<u8>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    opened: Condvar,
}

/// An output that blocks writes until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<Shared>);

impl Gate {
    fn open(&self) {
        self.0.state.lock().expect("no panic").is_open = true;
        self.0.opened.notify_all();
    }

    fn text(&self) -> String {
        let state = self.0.state.lock().expect("no panic");
        String::from_utf8(state.written.clone()).expect("text")
    }
}

impl Write for Gate {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let state = self.0.state.lock().expect("no panic");
        let closed = |s: &mut State| !s.is_open;
        let mut state = self.0.opened.wait_while(state, closed).expect("no panic");
        state.written.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(writer: &QueuedWriter, text: &str) {
    let args = format_args!("{text}");
    let record = Record::builder().args(args).level(Level::Info).build();
    writer
        .write(&mut DeferredNow::new(), &record)
        .expect("no error");
}

#[test]
fn stalled_reader_blocks_no_writer_and_gets_dropped_line_count() {
    let gate = Gate::default();
    let writer = QueuedWriter::new(gate.clone()).expect("a thread");
    // The thread may hold one line outside the queue, so at least this many are dropped.
    let dropped = 100;
    for i in 0..=QUEUE_CAPACITY + dropped {
        write(&writer, &format!("line {i}"));
    }
    gate.open();
    while !gate
        .text()
        .contains(&format!("\"line {}\"", QUEUE_CAPACITY - 1))
    {
        std::thread::yield_now();
    }
    write(&writer, "after");
    while !gate.text().contains("\"after\"") {
        std::thread::yield_now();
    }
    let text = gate.text();
    let note = text
        .lines()
        .find(|l| l.contains("log lines dropped"))
        .expect("a note");
    let count = note
        .rsplit_once("\"count\":")
        .and_then(|(_, n)| n.trim_end_matches('}').parse().ok());
    let count: usize = count.expect("a number");
    let lines = text.lines().filter(|l| l.contains("\"line ")).count();
    assert_eq!(lines + count, QUEUE_CAPACITY + dropped + 1);
}

#[test]
fn flush_writes_queued_lines_in_order() {
    let gate = Gate::default();
    gate.open();
    let writer = QueuedWriter::new(gate.clone()).expect("a thread");
    write(&writer, "first");
    write(&writer, "second");
    writer.flush().expect("no error");
    let text = gate.text();
    let at = |word: &str| text.find(word).expect("written");
    assert!(at("first") < at("second"));
}

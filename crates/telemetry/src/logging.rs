//! Log lines in JSON on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that a
//! reader that does not read can't hold up a request. What does not fit, or
//! exceeds the rate, is dropped and counted, and the count is told.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use log::{LevelFilter, Record};
use log4rs::{
    append::Append,
    config::{Appender, Config, Root},
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};
use parking_lot::Mutex;

/// Lines that may wait to be written: at 300 bytes a line, 300 kB at most.
const MAX_WAITING_LINES: usize = 1024;

/// Lines that are written in one second at most. A line takes 10 to 20 µs of a
/// core, so this bounds logging to about a hundredth of one.
const MAX_LINES_PER_S: u32 = 600;

/// How long a flush waits for the thread that writes: standard output may block.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The stack of the thread that writes; it calls nothing deep.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// What the thread that writes is sent.
#[derive(Debug)]
enum ToWriter {
    /// A line to be written.
    Line(Vec<u8>),
    /// To be answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Hands encoded lines to the thread that writes them.
#[derive(Debug)]
struct BoundedAppender {
    encoder: JsonEncoder,
    lines: SyncSender<ToWriter>,
    second: Mutex<(Instant, u32)>,
    dropped: AtomicU64,
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let is_within = self.is_within_rate();
        let mut line = Vec::with_capacity(256);
        match is_within {
            true => self.encoder.encode(&mut SimpleWriter(&mut line), record)?,
            false => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
        }
        if self.lines.try_send(ToWriter::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (written, is_written) = sync_channel(1);
        if self.lines.try_send(ToWriter::Flush(written)).is_ok() {
            // What is not written by then is lost, as the process must end.
            let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl BoundedAppender {
    /// Counts a line. At the start of a second it also tells what was dropped.
    fn is_within_rate(&self) -> bool {
        let mut second = self.second.lock();
        if second.0.elapsed() >= Duration::from_secs(1) {
            *second = (Instant::now(), 0);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let line = format!("{{\"level\":\"WARN\",\"dropped_lines\":{dropped}}}\n");
                // If even this line does not fit, the count is told next time.
                if self.lines.try_send(ToWriter::Line(line.into_bytes())).is_err() {
                    self.dropped.fetch_add(dropped, Ordering::Relaxed);
                }
            }
        }
        second.1 += 1;
        second.1 <= MAX_LINES_PER_S
    }
}

fn write_lines(lines: &Receiver<ToWriter>) {
    let mut out = std::io::stdout();
    while let Ok(message) = lines.recv() {
        // Without standard output, or anybody who waits, there is nobody to tell.
        let _ = match message {
            ToWriter::Line(line) => out.write_all(&line).and_then(|()| out.flush()).ok(),
            ToWriter::Flush(written) => written.try_send(()).ok(),
        };
    }
}

/// Starts logging.
///
/// Fails if logging was started before, or no thread can be had.
pub fn init_json_logging() -> anyhow::Result<()> {
    let (sender, receiver) = sync_channel(MAX_WAITING_LINES);
    std::thread::Builder::new()
        .name("log-writer".into())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&receiver))
        .context("the thread that writes log lines can't be started")?;
    let appender = BoundedAppender {
        encoder: JsonEncoder::new(),
        lines: sender,
        second: Mutex::new((Instant::now(), 0)),
        dropped: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .build(Root::builder().appender("stdout").build(LevelFilter::Info))
        .context("logging can't be set up")?;
    log4rs::init_config(config).context("logging was set up before")?;
    Ok(())
}

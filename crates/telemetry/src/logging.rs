//! JSON logging to standard output without blocking.
//!
//! Lines pass through a bounded queue to a writer thread, so that a slow reader of standard
//! output can't delay a request. Lines that exceed the queue or the rate limit are dropped,
//! and their number is logged.

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

/// Capacity of the queue in lines: at 300 bytes a line, at most 300 kB.
const MAX_QUEUED_LINES: usize = 1024;

/// Rate limit in lines per second. A line takes 10 to 20 µs of CPU time, so that logging is
/// limited to about 1% of a core.
const MAX_LINES_PER_S: u32 = 600;

/// Timeout of a flush, as standard output may block the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Stack size of the writer thread, whose call depth is small.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// A message to the writer thread.
#[derive(Debug)]
enum WriterMessage {
    /// Writes a line.
    Line(Vec<u8>),
    /// Confirms on the channel that all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Encodes lines and sends them to the writer thread.
#[derive(Debug)]
struct BoundedAppender {
    encoder: JsonEncoder,
    lines: SyncSender<WriterMessage>,
    /// Start of the current second, and lines in it.
    rate_window: Mutex<(Instant, u32)>,
    dropped_lines: AtomicU64,
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let is_within_rate = self.is_within_rate();
        let mut line = Vec::with_capacity(256);
        match is_within_rate {
            true => self.encoder.encode(&mut SimpleWriter(&mut line), record)?,
            false => {
                self.dropped_lines.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
        }
        if self.lines.try_send(WriterMessage::Line(line)).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (sender, receiver) = sync_channel(1);
        if self.lines.try_send(WriterMessage::Flush(sender)).is_ok() {
            // Lines that are not written within the timeout are lost: the process must exit.
            let _ = receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl BoundedAppender {
    /// Counts a line against the rate limit. At the start of a second it also logs the number
    /// of dropped lines.
    fn is_within_rate(&self) -> bool {
        let mut window = self.rate_window.lock();
        if window.0.elapsed() >= Duration::from_secs(1) {
            *window = (Instant::now(), 0);
            let dropped = self.dropped_lines.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let line = format!("{{\"level\":\"WARN\",\"dropped_lines\":{dropped}}}\n");
                // If the queue is full, the number is logged next time.
                if self.lines.try_send(WriterMessage::Line(line.into_bytes())).is_err() {
                    self.dropped_lines.fetch_add(dropped, Ordering::Relaxed);
                }
            }
        }
        window.1 += 1;
        window.1 <= MAX_LINES_PER_S
    }
}

fn write_lines(lines: &Receiver<WriterMessage>) {
    let mut out = std::io::stdout();
    while let Ok(message) = lines.recv() {
        // A failure can't be reported: standard output or the flushing thread is gone.
        let _ = match message {
            WriterMessage::Line(line) => out.write_all(&line).and_then(|()| out.flush()).ok(),
            WriterMessage::Flush(sender) => sender.try_send(()).ok(),
        };
    }
}

/// Initializes logging.
///
/// Fails if logging is already initialized, or the writer thread can't be started.
pub fn init_json_logging() -> anyhow::Result<()> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log-writer".into())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&receiver))
        .context("the thread that writes log lines can't be started")?;
    let appender = BoundedAppender {
        encoder: JsonEncoder::new(),
        lines: sender,
        rate_window: Mutex::new((Instant::now(), 0)),
        dropped_lines: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .build(Root::builder().appender("stdout").build(LevelFilter::Info))
        .context("logging can't be set up")?;
    log4rs::init_config(config).context("logging was set up before")?;
    Ok(())
}

//! A stop of an entry while streams are preempted at their server: their silence ends answers that
//! would have gone on.

use std::{
    io::{Result, Write},
    path::Path,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standins::{Channel, Entry, Head, Log, Store, address, call, listen, manifest};

const SERVERS: std::ops::Range<u8> = 21..29;
const EVENT_GAP: Duration = Duration::from_millis(40);
/// Streams that go on all the time, and those that are preempted.
const OTHERS: u64 = 4;
const PREEMPTED: u64 = 6;
const EVENTS_OF_OTHERS: u64 = 100;
const EVENTS: u64 = 24;
/// The event before which a stream is preempted, and for how long. Callers leave after 2 s.
const PREEMPTED_BEFORE: u64 = 5;
const PREEMPTED_FOR: Duration = Duration::from_millis(1400);

const MODEL_SERVICE: &str = r#""Name":"estimate-lm","MaxConns":248"#;
const MODEL_SERVICE_WITH_ENGINE: &str = r#""Name":"estimate-lm","MaxConns":248,"Engine":{"Slots":12,
    "KvCapacity":280000,"Stride":4,"step_ms":4.55,"per_seq_ms":0.905,"read_per_s":61400.0,
    "usual":{"prompt":844,"answer":97}}"#;

struct Server {
    id: String,
    log: Log,
    /// Whether other callers have taken all free places.
    is_full: Arc<AtomicBool>,
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece-{number}\n\n")
}

impl Server {
    fn serve(&self, mut channel: Channel) -> Result<()> {
        while let Some(head) = channel.read_head()? {
            channel.read_request_body(&head)?;
            if head.get("x-expect-instance").is_some_and(|meant| meant != self.id) {
                channel.stream.write_all(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            let attempt = head.get("x-attempt-id").unwrap_or_default();
            if self.is_full.load(Ordering::Relaxed) {
                self.log.line(format!("server {} is full and refuses {attempt}", self.id));
                channel.stream.write_all(
                    b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Server-Load: 12,24,12\r\n\
                      Content-Length: 0\r\n\r\n",
                )?;
                continue;
            }
            self.stream(&mut channel, &head)?;
        }
        Ok(())
    }

    fn stream(&self, channel: &mut Channel, head: &Head) -> Result<()> {
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let is_preempted = has_trouble() && attempt.starts_with('a');
        let events = if attempt.starts_with('a') { EVENTS } else { EVENTS_OF_OTHERS };
        let after = head.get("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let first = after.map_or(0, |id| id + 1);
        self.log.line(format!("server {} runs {attempt} from event {first}", self.id));
        write!(
            channel.stream,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {}.{attempt}\r\n\
             X-Server-Load: 6,0,12\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        )?;
        for number in first..events {
            thread::sleep(EVENT_GAP);
            if is_preempted && number == PREEMPTED_BEFORE {
                self.log.line(format!("server {} preempts {attempt}", self.id));
                thread::sleep(PREEMPTED_FOR);
                self.log.line(format!("server {} goes on with {attempt}", self.id));
            }
            let event = event(number);
            write!(channel.stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        channel.stream.write_all(b"0\r\n\r\n")
    }
}

/// Sends a stream's request. Returns whether the answer is complete, if it was a success.
fn stream(entry: std::net::SocketAddr, id: &str, events: u64, log: &Log) -> Option<bool> {
    let request = standins::request("POST", &format!("/damage/{id}"), id, "claims-key", 8000);
    let sent_at = Instant::now();
    match call(entry, &request, Duration::from_secs(2)) {
        Ok((head, body, is_complete)) if head.status() == 200 => {
            let got = String::from_utf8_lossy(&body).matches("data: ").count() as u64;
            let is_whole = is_complete && got == events;
            let took_ms = sent_at.elapsed().as_millis();
            log.line(format!(
                "caller got {id}: {got} of {events} events, complete: {is_complete}, {took_ms} ms"
            ));
            Some(is_whole)
        }
        Ok((head, ..)) => {
            log.line(format!("caller got {id}: {}", head.line));
            None
        }
        Err(error) => {
            log.line(format!("caller got {id}: {error}"));
            None
        }
    }
}

/// Whether the case is played with its disruption: unless `TROUBLE` is 0.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn play(folder: &Path, log: &Log) -> Result<bool> {
    let store_address = address(1, 8223);
    let store = Store::start(store_address)?;
    let manifest = manifest(1, &[("claims", "claims-key")]);
    store.put("keyed.op", b"config", &manifest.replace(MODEL_SERVICE, MODEL_SERVICE_WITH_ENGINE));
    let is_full = Arc::<AtomicBool>::default();
    for host in SERVERS {
        let id = format!("i-{host}");
        let (log, is_full) = (log.clone(), Arc::clone(&is_full));
        let server = Server { id: id.clone(), log, is_full };
        listen(address(host, 9000), move |channel| server.serve(channel))?;
        let registration = standins::registration("estimate-lm", address(host, 9000), 12);
        store.put("keyed.servers", id.as_bytes(), &registration);
    }
    let mut entry = Entry::start(11, store_address, folder)?;
    // The entry knows its share of the retries by then.
    thread::sleep(Duration::from_secs(12));
    let start = |kind: &'static str, count: u64, events: u64| -> Vec<_> {
        (0..count)
            .map(|number| {
                let (log, callers) = (log.clone(), entry.callers);
                thread::spawn(move || stream(callers, &format!("{kind}{number:03x}"), events, &log))
            })
            .collect()
    };
    let others = start("b", OTHERS, EVENTS_OF_OTHERS);
    thread::sleep(Duration::from_millis(1500));
    let streams = start("a", PREEMPTED, EVENTS);
    thread::sleep(Duration::from_millis(250));
    is_full.store(true, Ordering::Relaxed);
    log.line("other callers take the free places of all servers");
    Command::new("kill").args(["-TERM", &entry.child.id().to_string()]).status()?;
    log.line("SIGTERM to the entry");
    let streams: Vec<Option<bool>> = streams.into_iter().map(|s| s.join().unwrap()).collect();
    let others: Vec<Option<bool>> = others.into_iter().map(|s| s.join().unwrap()).collect();
    entry.child.wait()?;
    let cut = streams.iter().filter(|answer| **answer == Some(false)).count();
    let whole = streams.iter().filter(|answer| **answer == Some(true)).count();
    let others = others.iter().filter(|answer| **answer == Some(true)).count();
    log.result(format!(
        "{PREEMPTED} streams in a stop of their entry: {whole} whole, {cut} cut; of {OTHERS} others \
         {others} whole"
    ));
    if others == 0 || whole + cut == 0 {
        return Err(std::io::Error::other("no stream was served"));
    }
    Ok(cut == 0)
}

fn main() {
    standins::finish(Path::new("review/4"), play)
}

//! Streams whose server spoils a few answers: bytes that are no event come in one write with an event,
//! in the middle of a stream or behind its last event.

use std::{
    collections::HashMap,
    io::{Result, Write},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use standins::{Channel, Entry, Head, Log, Store, address, call, listen, manifest};

const EVENTS: u64 = 24;
const EVENT_GAP: Duration = Duration::from_millis(15);
/// One answer of so many is spoiled by the faulty server.
const SPOILED_ONE_OF: u64 = 20;
/// The events with which the spoiled bytes come, by turns.
const SPOILED_AT: [u64; 2] = [9, EVENTS - 1];
const CALLERS: u64 = 8;
const CALLS_EACH: u64 = 40;

struct Server {
    id: String,
    is_faulty: bool,
    answers: AtomicU64,
    log: Log,
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
            return self.stream(&mut channel, &head);
        }
        Ok(())
    }

    /// Streams events, without a length: the stream ends with its connection.
    fn stream(&self, channel: &mut Channel, head: &Head) -> Result<()> {
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let after = head.get("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let first = after.map_or(0, |id| id + 1);
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let spoiled_at = SPOILED_AT[(number / SPOILED_ONE_OF % 2) as usize];
        let is_spoiled = self.is_faulty && number % SPOILED_ONE_OF == 0;
        self.log.line(format!("server {} runs {attempt} from event {first}", self.id));
        let stamp = format!("{}.{attempt}", self.id);
        write!(
            channel.stream,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {stamp}\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        )?;
        for number in first..EVENTS {
            thread::sleep(EVENT_GAP);
            if is_spoiled && number == spoiled_at {
                let spoiled = [event(number).as_bytes(), b"\x07\xff\xfe no event\n\n"].concat();
                channel.stream.write_all(&spoiled)?;
                self.log.line(format!("server {} spoils {attempt} after event {number}", self.id));
                return Ok(());
            }
            channel.stream.write_all(event(number).as_bytes())?;
        }
        Ok(())
    }
}

/// What is wrong with a stream that a caller got, if anything.
fn fault(body: &[u8], is_complete: bool) -> Option<String> {
    let text = String::from_utf8_lossy(body);
    let ids: Vec<u64> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .filter_map(|id| id.parse().ok())
        .collect();
    let gap = ids.windows(2).find(|pair| pair[1] != pair[0] + 1);
    match gap {
        Some(pair) => Some(format!("event {} follows event {}", pair[1], pair[0])),
        None if ids.first().is_some_and(|first| *first != 0) => Some("no event 0".to_owned()),
        None if is_complete && ids.len() as u64 != EVENTS => {
            Some(format!("it ends as complete after {} events of {EVENTS}", ids.len()))
        }
        None => None,
    }
}

/// Whether the case is played with its disruption: unless `TROUBLE` is 0.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn play(folder: &Path, log: &Log) -> Result<bool> {
    let store_address = address(1, 8223);
    let store = Store::start(store_address)?;
    store.put("keyed.op", b"config", &manifest(1, &[("claims", "claims-key")]));
    for host in 21..24 {
        let id = format!("i-{host}");
        let (answers, log) = (AtomicU64::new(0), log.clone());
        let is_faulty = has_trouble() && host == 21;
        let server = Server { id: id.clone(), is_faulty, answers, log };
        listen(address(host, 9000), move |channel| server.serve(channel))?;
        let registration = standins::registration("estimate-lm", address(host, 9000), 12);
        store.put("keyed.servers", id.as_bytes(), &registration);
    }
    let entry = Entry::start(11, store_address, folder)?;
    let counts: Arc<Mutex<HashMap<&str, u64>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (log, address, counts) = (log.clone(), entry.callers, Arc::clone(&counts));
            thread::spawn(move || {
                for number in 0..CALLS_EACH {
                    let id = format!("{caller:x}{number:03x}");
                    let path = format!("/damage/{id}");
                    let request = standins::request("POST", &path, &id, "claims-key", 8000);
                    let answer = call(address, &request, Duration::from_secs(9));
                    let (what, text) = match answer {
                        Err(error) => ("no answer", error.to_string()),
                        Ok((head, ..)) if head.status() != 200 => ("failed", head.line),
                        Ok((_, body, is_complete)) => match fault(&body, is_complete) {
                            Some(fault) => ("out of order", fault),
                            None if is_complete => ("whole", String::new()),
                            None => ("broken off", String::new()),
                        },
                    };
                    log.line(format!("caller got {id}: {what} {text}"));
                    *counts.lock().unwrap().entry(what).or_default() += 1;
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| caller.join().expect("caller ends"));
    let counts = counts.lock().unwrap();
    log.result(format!("streams: {counts:?}"));
    if counts.get("whole").is_none() {
        return Err(std::io::Error::other("no stream was served"));
    }
    Ok(!counts.contains_key("out of order"))
}

fn main() {
    standins::finish(Path::new("review/6"), play)
}

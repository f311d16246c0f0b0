//! Stand-ins for the cases of the second review: the store, a server and a client of HTTP/1.1, and
//! the entry process under test. Standard library only.

use std::{
    collections::HashMap,
    fs::File,
    io::{Read, Result, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Port of all entries for callers.
pub const CALLERS_PORT: u16 = 8227;
const READINESS_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;

/// A request or response without its body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Headers in order, names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The path of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }
}

/// A connection with what was read ahead.
pub struct Channel {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Channel {
        let _ = stream.set_nodelay(true);
        Channel { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the peer closes first.
    pub fn read_head(&mut self) -> Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&text[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let headers =
            fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some(Head { line, headers: headers.collect() }))
    }

    /// Reads an exact number of bytes; fails if the peer closes first.
    pub fn read_exact(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a request.
    pub fn read_request_body(&mut self, head: &Head) -> Result<Vec<u8>> {
        let length = head.get("content-length").and_then(|value| value.parse().ok());
        self.read_exact(length.unwrap_or(0))
    }

    /// Reads the body of a response. The second part tells whether it is complete.
    pub fn read_response_body(&mut self, head: &Head) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        let is_chunked = head.get("transfer-encoding").is_some_and(|value| value == "chunked");
        if is_chunked {
            let is_complete = self.read_chunks(&mut body).is_ok();
            return (body, is_complete);
        }
        let length = head.get("content-length").and_then(|value| value.parse::<usize>().ok());
        if let Some(length) = length {
            return match self.read_exact(length) {
                Ok(bytes) => (bytes, true),
                Err(_) => (std::mem::take(&mut self.buffer), false),
            };
        }
        loop {
            match self.fill() {
                Ok(0) => return (std::mem::take(&mut self.buffer), true),
                Ok(_) => {}
                Err(_) => return (std::mem::take(&mut self.buffer), false),
            }
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> Result<()> {
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let bytes = self.read_exact(size)?;
            body.extend_from_slice(&bytes);
            self.read_line()?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// Serves connections at an address, each on a thread of its own, until the program ends.
pub fn listen(
    address: SocketAddr,
    serve: impl Fn(Channel) -> Result<()> + Send + Sync + 'static,
) -> Result<()> {
    let listener = TcpListener::bind(address)?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            // A connection that breaks is the peer's matter.
            thread::spawn(move || serve(Channel::new(stream)));
        }
    });
    Ok(())
}

/// Sends a request on a new connection, and reads its whole response. The last part tells whether it
/// is complete.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> Result<(Head, Vec<u8>, bool)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    let mut channel = Channel::new(stream);
    channel.stream.write_all(request.as_bytes())?;
    let head = channel.read_head()?;
    let head = head.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
    let (body, is_complete) = channel.read_response_body(&head);
    Ok((head, body, is_complete))
}

#[derive(Clone)]
struct Record {
    key: Vec<u8>,
    value: Vec<u8>,
}

/// The platform's store: topics of one partition, whose records are numbered from 0 and all kept.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Vec<Record>>>, Condvar)>,
}

impl Store {
    /// Serves an empty store at an address.
    pub fn start(address: SocketAddr) -> Result<Store> {
        let store = Store::default();
        let served = store.clone();
        listen(address, move |channel| served.serve(channel))?;
        Ok(store)
    }

    /// Appends a record.
    pub fn put(&self, topic: &str, key: &[u8], value: &str) {
        let record = Record { key: key.to_vec(), value: value.as_bytes().to_vec() };
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Record>) -> (usize, usize) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let first = log.len();
        log.extend(records);
        let end = log.len();
        changed.notify_all();
        (first, end)
    }

    fn serve(&self, mut channel: Channel) -> Result<()> {
        while let Some(head) = channel.read_head()? {
            let body = channel.read_request_body(&head)?;
            let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
            let fields: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = fields.get("Topic").copied().unwrap_or_default();
            let (status, body) = match path {
                "/lynxmount/log-newest" => ("200 OK", self.newest(topic)),
                "/lynxmount/log-read" => {
                    let number = |name| fields.get(name).and_then(|value: &&str| value.parse().ok());
                    let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                    ("200 OK", self.read(topic, number("From").unwrap_or(0) as usize, wait))
                }
                "/lynxmount/log-append" if ["keyed.op", "keyed.servers"].contains(&topic) => {
                    ("403 Forbidden", Vec::new())
                }
                "/lynxmount/log-append" => {
                    let (first, end) = self.append(topic, parse_records(&body));
                    let answer = format!(r#"{{"Offset":{first},"EndOffset":{end}}}"#);
                    ("200 OK", answer.into_bytes())
                }
                _ => ("404 Not Found", Vec::new()),
            };
            let length = body.len();
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
            channel.stream.write_all(&[answer.as_bytes(), &body].concat())?;
        }
        Ok(())
    }

    /// The newest record of each key, as JSON. Bytes of a key that are no text are shown as U+FFFD.
    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let empty = Vec::new();
        let log = topics.get(topic).unwrap_or(&empty);
        let mut newest: Vec<(usize, &Record)> = Vec::new();
        for (offset, record) in log.iter().enumerate() {
            newest.retain(|(_, known)| known.key != record.key);
            newest.push((offset, record));
        }
        let items = newest.iter().filter(|(_, record)| !record.value.is_empty());
        let items = items.map(|(offset, record)| {
            let key = json_text(&record.key);
            let value = base64(&record.value);
            format!(r#"{{"Key":"{key}","Value":"{value}","Offset":{offset}}}"#)
        });
        let items = items.collect::<Vec<_>>().join(",");
        format!(r#"{{"Items":[{items}],"HasMore":false,"EndOffset":{}}}"#, log.len()).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let log = topics.get(topic).map_or(&[][..], |log| log);
            let left = until.saturating_duration_since(Instant::now());
            if log.len() > from || left.is_zero() {
                let mut body = (log.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for Record { key, value } in log.get(from..).unwrap_or_default() {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key);
                    body.extend_from_slice(value);
                }
                return body;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn parse_records(mut body: &[u8]) -> Vec<Record> {
    let mut records = Vec::new();
    while body.len() > 4 {
        let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
        let record = &body[4..4 + length];
        let key_end = 1 + record[0] as usize;
        records.push(Record { key: record[1..key_end].to_vec(), value: record[key_end..].to_vec() });
        body = &body[4 + length..];
    }
    records
}

/// The content of a JSON string.
fn json_text(bytes: &[u8]) -> String {
    let escape = |c: char| match c {
        '"' | '\\' => format!("\\{c}"),
        c if c.is_control() => format!("\\u{:04x}", c as u32),
        c => c.to_string(),
    };
    String::from_utf8_lossy(bytes).chars().map(escape).collect()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit <= group.len() { DIGITS[index] as char } else { '=' });
        }
    }
    text
}

/// An address of this run: a loopback network is chosen by the process id, so that runs side by side
/// don't meet.
pub fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddrV4::new(ip(host), port).into()
}

fn ip(host: u8) -> Ipv4Addr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), low, host)
}

/// Writes what happened, with the time since the start, to a file and to standard output.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Log {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Result<Log> {
        let file = Arc::new(Mutex::new(File::create(folder.join("record.txt"))?));
        Ok(Log { file, started_at: Instant::now() })
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at_s = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at_s:8.3} {}", text.as_ref());
    }

    /// Writes a line, and prints it.
    pub fn result(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// An entry process, started with the command of the deploy file. Ended when it is dropped.
pub struct Entry {
    /// The process.
    pub child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Entry {
    /// Starts an entry at a host of this run's network and waits until it is ready. Its output goes
    /// to a file in `target/review-2` that is named after the case's folder.
    pub fn start(host: u8, store: SocketAddr, case_folder: &Path) -> Result<Entry> {
        let name = format!("lynxmount-review-{}-{host}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let settings = folder.join("local.conf");
        std::fs::write(&settings, entry_settings(host, store))?;
        let case = case_folder.file_name().unwrap_or_default().to_string_lossy();
        let output = File::create(format!("target/review-2/case-{case}-entry-{host}.log"))?;
        let child = Command::new("target/release/lynxmount")
            .args(["platform-entry", "--metrics-port", "7341"])
            .env("LYNXMOUNT_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        let (callers, readiness) = (address(host, CALLERS_PORT), address(host, READINESS_PORT));
        let entry = Entry { child, callers, readiness, folder };
        entry.wait_until_ready()?;
        Ok(entry)
    }

    fn wait_until_ready(&self) -> Result<()> {
        let request = "GET /lynxmount/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        for _ in 0..200 {
            let answer = call(self.readiness, request, Duration::from_secs(1));
            if answer.is_ok_and(|(head, ..)| head.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(std::io::Error::other("the entry does not get ready"))
    }
}

/// The settings of an entry of dce-router.
fn entry_settings(host: u8, store: SocketAddr) -> String {
    let ip = ip(host);
    let seeds: Vec<String> = (11..14).map(|host| address(host, CONTROL_PORT).to_string()).collect();
    format!(
        "NodeName=frontend-{host}\nRole=entry\nMachineClass=frontend\nServes=frontend,control_plane\n\
         Ip={ip}\nZone=purvciems\nRegion=latvia-central\nListen.FrontendAddr={ip}:{CALLERS_PORT}\n\
         Listen.ReadinessAddr={ip}:{READINESS_PORT}\nListen.ControlAddr={ip}:{CONTROL_PORT}\n\
         InternalPorts=7340,7355\nSeeds={}\nFirstStart=true\nInTolerance=false\nLimits.CpuQuota=0.19\n\
         Limits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4200\nLimits.LinkMbps=1000.0\n\
         Limits.DiskMb=0\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\n\
         Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.StableMs=3000\nBounds.AckMs=4000\n\
         Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
         Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.PartitionMaxMs=5000\n\
         Bounds.RetryRatio=0.2\nBounds.RetryWindowS=10\nBounds.RetrySlack=88\nBounds.RecoverS=12\n\
         Bounds.MaxDelayMs=120\nBounds.stall_ms=1500\nBounds.FencingEnforced=false\n\
         Platform.Address={store}\nPlatform.form=log\nPlatform.WritesPerS=400\n\
         Platform.ReadsPerS=2000\nPlatform.parts=12\n",
        seeds.join(",")
    )
}

/// The registration of a ready server.
pub fn registration(service: &str, address: SocketAddr, slots: u32) -> String {
    format!(
        r#"{{"Service":"{service}","Address":"{address}","Zone":"purvciems","Version":"1","Slots":{slots},"State":"ready","ColdLeftMs":0,"SeqNo":1}}"#
    )
}

/// A manifest with a route for streams that may be resumed, one for lookups, and these tenants, each
/// with one key.
pub fn manifest(version: u64, tenants: &[(&str, &str)]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, key)| format!(r#"{{"Name":"{name}","ApiKeys":["{key}"],"Priority":1}}"#))
        .collect();
    format!(
        r#"{{"Version":{version},"Routes":[
        {{"Name":"damage-text","Hostname":"desk.example","PathPrefix":"/damage/","RouteKind":"streaming","TimeoutMs":8000,"GoalMs":500,"GapGoalMs":120,"Priority":1,"Service":"estimate-lm","MaxAttempts":2,"Public":false,"Resumable":true}},
        {{"Name":"vin-lookup","Hostname":"desk.example","PathPrefix":"/vin/","RouteKind":"idempotent","TimeoutMs":1500,"GoalMs":100,"Priority":2,"Service":"claims-api","MaxAttempts":2,"Public":false}},
        {{"Name":"claim-poll","Hostname":"desk.example","PathPrefix":"/claim/","RouteKind":"non_idempotent","TimeoutMs":1500,"GoalMs":100,"Priority":2,"Service":"claims-api","MaxAttempts":2,"Public":false}}],
        "Services":[{{"Name":"estimate-lm","MaxConns":248}},{{"Name":"claims-api","MaxConns":96}}],
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
        "Tenants":[{}]}}"#,
        tenants.join(",")
    )
}

/// A request of a caller.
pub fn request(method: &str, path: &str, id: &str, key: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
         X-Credential: {key}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Ends the program: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn finish(folder: &Path, play: impl FnOnce(&Path, &Log) -> Result<bool>) -> ! {
    let result = Log::create(folder).and_then(|log| {
        let holds = play(folder, &log)?;
        log.result(if holds { "the rule held" } else { "the rule was broken" });
        Ok(holds)
    });
    std::process::exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    })
}

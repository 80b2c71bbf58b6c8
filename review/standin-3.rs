//! Stand-ins of the platform for the cases 11 to 15: its store, routers, clients and servers, and the
//! scripts of the cases. Uses the standard library only.
//!
//! Usage: standin-3 CASE FOLDER. Reads `TROUBLE` from the environment (0: without the disruption) and
//! writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// Ports, the same on all machines.
const DATA: u16 = 8172;
const READY: u16 = 8167;
const CONTROL: u16 = 8166;
const APP: u16 = 8165;
const OUTBOUND: u16 = 8162;
const FRAMES: u16 = 7720;
const METRICS: u16 = 9464;

/// Time within which a machine counts as out of touch after a trouble of its own (`contactMs`).
const CONTACT_MS: u64 = 4_000;
/// Time within which a configuration has to be in force (`configApplyMs`).
const CONFIG_APPLY_MS: u64 = 3_000;
/// Time between heartbeats of a server (`heartbeatMs`).
const HEARTBEAT_MS: u64 = 1_200;

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with milliseconds since the start.
struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn new(folder: &str) -> Arc<Self> {
        let file = File::create(PathBuf::from(folder).join("record.txt"));
        let Ok(file) = file else { could_not_run("the record cannot be written") };
        Arc::new(Self { file: Mutex::new(file), start: Instant::now() })
    }
    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} {text}", self.ms());
    }
}

/// Processes that the case has started and not ended yet.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started, and the case.
fn end(code: i32) -> ! {
    let children = std::mem::take(&mut *CHILDREN.lock().unwrap());
    for id in children {
        let _ = Command::new("sh").args(["-c", "kill -KILL \"$0\"", &id.to_string()]).status();
    }
    std::process::exit(code)
}

fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end(2)
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }
    fn space(b: &[u8], at: &mut usize) {
        while *at < b.len() && b[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }
    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(b, at);
        match *b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut object = BTreeMap::new();
                loop {
                    Self::space(b, at);
                    if *b.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Json::Object(object));
                    }
                    if *b.get(*at)? == b',' {
                        *at += 1;
                        continue;
                    }
                    let Json::Text(key) = Self::value(b, at)? else { return None };
                    Self::space(b, at);
                    if *b.get(*at)? != b':' {
                        return None;
                    }
                    *at += 1;
                    object.insert(key, Self::value(b, at)?);
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(b, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    let byte = *b.get(*at)?;
                    *at += 1;
                    match byte {
                        b'"' => return Some(Json::Text(String::from_utf8(text).ok()?)),
                        b'\\' => {
                            let escaped = *b.get(*at)?;
                            *at += 1;
                            text.push(match escaped {
                                b'n' => b'\n',
                                b't' => b'\t',
                                other => other,
                            });
                        }
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let from = *at;
                while *at < b.len() && !b",]} \n\r\t".contains(&b[*at]) {
                    *at += 1;
                }
                match std::str::from_utf8(&b[from..*at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }
    fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(object) => object.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    fn number(&self) -> i64 {
        match self {
            Json::Number(number) => *number as i64,
            _ => 0,
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(ALPHABET[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        match b[i] {
            b'%' if i + 2 < b.len() => {
                out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
                i += 2;
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct Content {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item unless the key was removed.
    events: Vec<(i64, String, Option<Item>)>,
    leases: HashMap<i64, (u64, Instant)>,
    last_lease: i64,
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.events.push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let lapsed: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in lapsed {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"createRev":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

/// The store. It is reached through gates, one for each machine.
#[derive(Clone)]
struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    /// What stale reads may show: the content at earlier times.
    earlier: Arc<Mutex<Vec<(Instant, i64, BTreeMap<String, Item>)>>>,
}

/// Age of what stale reads show.
const STALE_MS: u64 = 3_000;

/// The address of the store for one machine.
#[derive(Clone)]
struct Gate {
    address: SocketAddr,
    /// Whether the next answer to a watch that brings changes is lost.
    loses_next: Arc<AtomicBool>,
}

impl Store {
    fn start() -> Self {
        let store = Self { content: Arc::default(), earlier: Arc::default() };
        let ticking = store.clone();
        thread::spawn(move || loop {
            sleep(50);
            let now = Instant::now();
            let mut content = ticking.content.0.lock().unwrap();
            content.expire();
            let mut earlier = ticking.earlier.lock().unwrap();
            earlier.push((now, content.revision, content.items.clone()));
            earlier.retain(|(at, ..)| now.duration_since(*at) < Duration::from_millis(2 * STALE_MS));
            drop(content);
            ticking.content.1.notify_all();
        });
        store
    }
    fn put(&self, key: &str, value: &str) {
        self.content.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.content.1.notify_all();
    }
    fn gate(&self) -> Gate {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
            could_not_run("the store has no address")
        };
        let gate = Gate { address: listener.local_addr().unwrap(), loses_next: Arc::default() };
        let (store, loses_next) = (self.clone(), Arc::clone(&gate.loses_next));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, loses_next) = (store.clone(), Arc::clone(&loses_next));
                thread::spawn(move || store.serve(stream, &loses_next));
            }
        });
        gate
    }
    fn serve(&self, stream: TcpStream, loses_next: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some((method, target, body)) = read_request(&mut reader) {
            sleep(2);
            let (status, reply) = self.call(&method, &target, &body);
            // A watch that its client has given up does not count.
            let brings_changes = target.starts_with("/kv-watch?prefix=op") && reply.contains("\"key\"");
            if brings_changes && loses_next.swap(false, Ordering::SeqCst) {
                // The connection stays open and returns nothing further.
                loop {
                    sleep(1_000);
                }
            }
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                reply.len()
            );
            if writer.write_all((head + &reply).as_bytes()).is_err() {
                return;
            }
        }
    }
    fn call(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .map(|(name, value)| (percent_decode(name), percent_decode(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(body).unwrap_or(Json::Null);
        if path == "/kv-watch" {
            return self.watch(&field("prefix"), field("after").parse().unwrap_or(0), field("waitMs").parse().unwrap_or(0));
        }
        let mut content = self.content.0.lock().unwrap();
        content.expire();
        let id = || path.rsplit('/').next().and_then(|id| id.parse::<i64>().ok()).unwrap_or(0);
        let result = match (method, path) {
            ("GET", "/kv-key") => match content.items.get(&field("key")) {
                Some(item) => {
                    let text = item_json(&field("key"), item);
                    let text = format!("{},\"storeRevision\":{}}}", &text[..text.len() - 1], content.revision);
                    (200, text)
                }
                None => (404, format!("{{\"storeRevision\":{}}}", content.revision)),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (field("prefix"), field("after"));
                let earlier = self.earlier.lock().unwrap();
                let stale = earlier.iter().rev().find(|(at, ..)| at.elapsed() >= Duration::from_millis(STALE_MS));
                let (revision, items) = match stale.filter(|_| field("allowStale") == "1") {
                    Some((_, revision, items)) => (*revision, items),
                    None => (content.revision, &content.items),
                };
                let all: Vec<_> =
                    items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after).collect();
                let items: Vec<String> = all.iter().take(500).map(|(key, item)| item_json(key, item)).collect();
                let reply = format!(
                    r#"{{"items":[{}],"hasMore":{},"storeRevision":{revision}}}"#,
                    items.join(","),
                    all.len() > 500
                );
                (200, reply)
            }
            ("POST", "/kv-txn") => self.txn(&mut content, &body),
            ("POST", "/kv-lease") => {
                content.last_lease += 1;
                let (lease, ttl) = (content.last_lease, body.get("ttlMs").number().max(1_000) as u64);
                content.leases.insert(lease, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => match content.leases.get_mut(&id()) {
                Some((ttl, until)) => {
                    *until = Instant::now() + Duration::from_millis(*ttl);
                    (200, format!(r#"{{"ttlMs":{ttl}}}"#))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let known = content.leases.remove(&id()).is_some();
                content.expire();
                (if known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        };
        drop(content);
        self.content.1.notify_all();
        result
    }
    fn txn(&self, content: &mut Content, body: &Json) -> (u16, String) {
        let holds = body.get("expectedRev").list().iter().all(|row| {
            let known = content.items.get(row.get("key").text());
            known.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            return (412, r#"{"items":[]}"#.to_owned());
        }
        let lapsed = body.get("puts").list().iter().any(|row| {
            let lease = row.get("lease").number();
            lease != 0 && !content.leases.contains_key(&lease)
        });
        if lapsed {
            return (404, "{}".to_owned());
        }
        for row in body.get("puts").list() {
            content.put(row.get("key").text(), row.get("value").text().to_owned(), row.get("lease").number());
        }
        for key in body.get("remove").list() {
            content.remove(key.text());
        }
        (200, format!(r#"{{"revision":{}}}"#, content.revision))
    }
    fn watch(&self, prefix: &str, after: i64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.content.0.lock().unwrap();
        loop {
            if after > content.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = content
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let reply = format!(r#"{{"events":[{}],"storeRevision":{}}}"#, events.join(","), content.revision);
                return (200, reply);
            }
            content = self.content.1.wait_timeout(content, Duration::from_millis(50)).unwrap().0;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut parts = line.split_whitespace();
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|n| *n > 0)?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, target, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends a request and returns the status of the reply, 0 if there is none within a second.
fn http(to: SocketAddrV4, method: &str, path: &str, body: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
    };
    exchange().unwrap_or(0)
}

// ---------------------------------------------------------------- packets

const SYN: u8 = 1;
const BOUNCED: u8 = 2;
const FIN: u8 = 4;
const ACK: u8 = 8;
const RST: u8 = 128;
const HEAD: usize = 36;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Key {
    client: SocketAddrV4,
    route: SocketAddrV4,
}

#[derive(Debug, Clone)]
struct Packet {
    source: SocketAddrV4,
    destination: SocketAddrV4,
    flags: u8,
    sequence: u32,
    ack: u32,
    sum: u32,
    data: Vec<u8>,
}

impl Packet {
    fn new(source: SocketAddrV4, destination: SocketAddrV4, flags: u8, sequence: u32, ack: u32, data: &[u8]) -> Self {
        Self { source, destination, flags, sequence, ack, sum: 0xa1b2_c3d5, data: data.to_vec() }
    }
    fn encode(&self) -> Vec<u8> {
        let mut b = vec![0; 4];
        b.extend(self.source.ip().octets());
        b.extend(self.destination.ip().octets());
        b.extend(self.source.port().to_be_bytes());
        b.extend(self.destination.port().to_be_bytes());
        b.extend((self.data.len() as u16).to_be_bytes());
        b.extend(self.sum.to_be_bytes());
        b.push(self.flags);
        b.extend([0; 5]);
        b.extend(self.sequence.to_be_bytes());
        b.extend(self.ack.to_be_bytes());
        b.extend(&self.data);
        b
    }
    fn decode(b: &[u8]) -> Option<Self> {
        if b.len() < HEAD {
            return None;
        }
        let u32_at = |at: usize| u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
        let u16_at = |at: usize| u16::from_be_bytes([b[at], b[at + 1]]);
        let address = |ip, port| SocketAddrV4::new(Ipv4Addr::from(u32_at(ip)), u16_at(port));
        Some(Self {
            source: address(4, 12),
            destination: address(8, 14),
            flags: b[22],
            sequence: u32_at(28),
            ack: u32_at(32),
            sum: u32_at(18),
            data: b[HEAD..].to_vec(),
        })
    }
}

// ---------------------------------------------------------------- machines and processes

/// The first two numbers of the loopback addresses of this run.
fn network() -> (u8, u8) {
    static CHOSEN: Mutex<Option<(u8, u8)>> = Mutex::new(None);
    let mut chosen = CHOSEN.lock().unwrap();
    *chosen.get_or_insert_with(|| {
        let first = std::process::id();
        for offset in 0..200 {
            let number = first.wrapping_add(offset * 37);
            let (a, b) = ((64 + number % 120) as u8, (number / 120 % 250) as u8);
            // The project's own tests use 127.77.
            let is_free = a != 77 && (1..40).all(|last| {
                let ip = Ipv4Addr::new(127, a, b, last);
                [DATA, READY, CONTROL, FRAMES, METRICS].iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
            });
            if is_free {
                return (a, b);
            }
        }
        could_not_run("no free loopback addresses")
    })
}

#[derive(Clone)]
struct Machine {
    name: String,
    ip: Ipv4Addr,
    zone: &'static str,
    /// Empty on entry machines.
    service: &'static str,
    gate: Gate,
}

impl Machine {
    fn new(number: u8, zone: &'static str, service: &'static str, store: &Store) -> Self {
        let (a, b) = network();
        let class = if service.is_empty() { "frontend" } else { "side" };
        Self {
            name: format!("{class}-{zone}-{number}"),
            ip: Ipv4Addr::new(127, a, b, number),
            zone,
            service,
            gate: store.gate(),
        }
    }
    fn at(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }
    fn role(&self) -> &'static str {
        if self.service.is_empty() { "balancer" } else { "agent" }
    }
    fn settings(&self, seeds: &[SocketAddrV4]) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, own) = if self.service.is_empty() {
            ("frontend", format!("serves = [\"frontend\",\"control_plane\"]\n[listen]\ndataAddr = \"{0}:{DATA}\"\nreadyAddr = \"{0}:{READY}\"\ncontrol = \"{0}:{CONTROL}\"\n", self.ip))
        } else {
            ("side", format!("serves = [\"side\"]\nservice = \"{1}\"\napp = \"{0}:{APP}\"\n[listen]\ndataAddr = \"{0}:{DATA}\"\noutbound = \"{0}:{OUTBOUND}\"\nreadyAddr = \"{0}:{READY}\"\ncontrol = \"{0}:{CONTROL}\"\n", self.ip, self.service))
        };
        format!(
            "nodeName = \"{}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\nip = \"{}\"\nzone = \"{}\"\nregion = \"mvd\"\nportRange = [{FRAMES},7735]\nseeds = [{}]\nbootstrap = true\nheartbeatMs = {HEARTBEAT_MS}\nhash = \"steady\"\ndeployMode = \"agent\"\n{own}[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\ncontactMs = {CONTACT_MS}\nackMs = 5000\ndrainMs = 3000\ngraceS = 6\nconfigApplyMs = {CONFIG_APPLY_MS}\nrollbackSlackMs = 250\nmaxStretchMs = 12000\ncoldOverage = 1.5\ncoldSlack = 5\nevacuationMs = 5000\nrecoveryS = 12\nflowStabilityMs = 2000\nflowMaxS = 60\n[platform]\naddress = \"{}\"\ndeployMode = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            self.name, self.role(), self.ip, self.zone, seeds.join(","), self.gate.address
        )
    }
}

/// A running program of the deploy file.
struct Process {
    child: Child,
}

impl Process {
    fn kill(&mut self) {
        let id = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|child| *child != id);
    }
    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }
}

/// Processes of the case by machine; all end when it is dropped.
struct Fleet {
    record: Arc<Record>,
    folder: PathBuf,
    processes: HashMap<String, Process>,
    seeds: Vec<SocketAddrV4>,
}

impl Fleet {
    fn new(record: &Arc<Record>) -> Self {
        let folder = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        if std::fs::create_dir_all(&folder).is_err() {
            could_not_run("no temporary folder");
        }
        Self { record: Arc::clone(record), folder, processes: HashMap::new(), seeds: Vec::new() }
    }
    fn start(&mut self, machine: &Machine) {
        let settings = self.folder.join(format!("{}.toml", machine.name));
        let log = File::create(self.folder.join(format!("{}.log", machine.name)));
        let written = std::fs::write(&settings, machine.settings(&self.seeds));
        let (Ok(log), Ok(())) = (log, written) else { could_not_run("settings cannot be written") };
        let child = Command::new("target/release/sassafrasmast-forward")
            .arg(machine.role())
            .env("SASSAFRASMAST_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let Ok(child) = child else { could_not_run("the program of the deploy file cannot be started") };
        CHILDREN.lock().unwrap().push(child.id());
        self.record.line(&format!("start {} on {}", machine.role(), machine.name));
        self.processes.insert(machine.name.clone(), Process { child });
    }
    fn process(&mut self, machine: &Machine) -> &mut Process {
        match self.processes.get_mut(&machine.name) {
            Some(process) => process,
            None => could_not_run("no such process"),
        }
    }
    fn kill(&mut self, machine: &Machine) {
        self.record.line(&format!("SIGKILL to {}", machine.name));
        self.process(machine).kill();
    }
    fn check_all_run(&mut self) {
        for (name, process) in &mut self.processes {
            if process.has_ended() {
                self.record.line(&format!("the process on {name} has ended by itself"));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            process.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

// ---------------------------------------------------------------- servers

#[derive(Default)]
struct ServerState {
    /// Flows by key: the server's sequence number, whether the flow is open, and the client's data
    /// up to which all is received.
    flows: HashMap<Key, (u32, bool, u32)>,
    /// When the opening packet of each flow arrived.
    arrivals: Vec<(Key, Instant)>,
    /// Copies of the answers, by flow and sequence number of the request.
    answers: HashMap<(Key, u32), Vec<u8>>,
}

/// A server beside an agent.
struct Server {
    id: String,
    machine: Machine,
    born: u64,
    sequence: AtomicU64,
    number: u32,
    draining: AtomicBool,
    /// Whether a partition delays its heartbeats.
    cut: AtomicBool,
    announced_at: Mutex<Instant>,
    /// Until when the server is cold.
    cold_until: Mutex<Instant>,
    stopped: AtomicBool,
    state: Mutex<ServerState>,
}

impl Server {
    /// Starts a server; `number` tells its SYN-ACKs from those of others.
    fn start(id: &str, machine: &Machine, number: u32, record: &Arc<Record>) -> Arc<Self> {
        let Ok(socket) = UdpSocket::bind(machine.at(APP)) else { could_not_run("a server has no address") };
        let _ = socket.set_read_timeout(Some(Duration::from_millis(20)));
        let server = Arc::new(Self {
            id: id.to_owned(),
            machine: machine.clone(),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            number,
            draining: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            announced_at: Mutex::new(Instant::now()),
            cold_until: Mutex::new(Instant::now()),
            stopped: AtomicBool::new(false),
            state: Mutex::default(),
        });
        record.line(&format!("server {id} starts on {}", machine.name));
        let (own, log) = (Arc::clone(&server), Arc::clone(record));
        thread::spawn(move || own.serve(&socket, &log));
        let own = Arc::clone(&server);
        thread::spawn(move || {
            while !own.stopped.load(Ordering::SeqCst) {
                if !own.cut.load(Ordering::SeqCst) {
                    own.announce();
                    *own.announced_at.lock().unwrap() = Instant::now();
                }
                sleep(HEARTBEAT_MS);
            }
        });
        server
    }
    /// The server becomes cold.
    fn cool(&self, cold_ms: u64) {
        *self.cold_until.lock().unwrap() = Instant::now() + Duration::from_millis(cold_ms);
    }
    fn announce(&self) -> u16 {
        let body = self.heartbeat();
        http(self.machine.at(CONTROL), "POST", &format!("/instances/{}/heartbeat", self.id), &body)
    }
    /// The body of the next heartbeat.
    fn heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","address":"{}:{APP}","zone":"{}","version":"v1","slots":5,"state":"{state}","warmupLeftMs":{},"sequence":{sequence},"born":{}}}"#,
            self.machine.service,
            self.machine.ip,
            self.machine.zone,
            self.cold_until.lock().unwrap().saturating_duration_since(Instant::now()).as_millis(),
            self.born
        )
    }
    fn crash(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
    fn holds(&self, key: &Key) -> bool {
        self.state.lock().unwrap().flows.get(key).is_some_and(|(_, open, _)| *open)
    }
    fn serve(&self, socket: &UdpSocket, record: &Record) {
        let outbound = self.machine.at(OUTBOUND);
        let mut buffer = [0; 2_048];
        let mut started = 0_u32;
        while !self.stopped.load(Ordering::SeqCst) {
            let Ok((size, _)) = socket.recv_from(&mut buffer) else { continue };
            let Some(packet) = Packet::decode(&buffer[..size]) else { continue };
            let key = Key { client: packet.source, route: packet.destination };
            let mut state = self.state.lock().unwrap();
            if packet.flags & SYN != 0 {
                started += 1;
                if !state.flows.contains_key(&key) {
                    state.arrivals.push((key, Instant::now()));
                }
                let next = (self.number << 24) | (started * 64 & 0x00ff_ffff);
                let (own, ..) = *state.flows.entry(key).or_insert((next, false, packet.sequence.wrapping_add(1)));
                record.line(&format!("server {} takes SYN copy {} of {} > {}", self.id, packet.ack, key.client, key.route));
                let reply = Packet::new(key.route, key.client, SYN | ACK, own, packet.sequence.wrapping_add(1), b"");
                let _ = socket.send_to(&reply.encode(), outbound);
                continue;
            }
            let known = state.flows.get(&key).copied();
            let is_own = known.is_some_and(|(own, open, _)| open || packet.ack == own.wrapping_add(1));
            let Some((own, open, next)) = known.filter(|_| is_own) else {
                // Not held here: back to the daemon with BOUNCED set and pad 0.
                let mut bytes = buffer[..size].to_vec();
                bytes[22] |= BOUNCED;
                bytes[23..28].fill(0);
                record.line(&format!("server {} bounces a packet of {} > {}", self.id, key.client, key.route));
                let _ = socket.send_to(&bytes, outbound);
                continue;
            };
            if !open {
                state.flows.insert(key, (own, true, next));
                record.line(&format!("flow {} > {} opens at server {}", key.client, key.route, self.id));
            }
            if packet.flags & RST != 0 {
                state.flows.remove(&key);
                continue;
            }
            if packet.flags & FIN != 0 {
                state.flows.remove(&key);
                let reply = Packet::new(key.route, key.client, ACK | FIN, packet.ack, packet.sequence.wrapping_add(1), b"");
                let _ = socket.send_to(&reply.encode(), outbound);
                continue;
            }
            if packet.data.is_empty() {
                continue;
            }
            let end = packet.sequence.wrapping_add(packet.data.len() as u32);
            let answer = match state.answers.get(&(key, packet.sequence)) {
                // A retransmission: the answer is sent again.
                Some(answer) => answer.clone(),
                None => {
                    let request = String::from_utf8_lossy(&packet.data).into_owned();
                    record.line(&format!("server {} runs {}", self.id, request.lines().next().unwrap_or("")));
                    let text = format!("HTTP/1.1 200 OK\r\nServer: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                    state.flows.insert(key, (own, true, end));
                    state.answers.insert((key, packet.sequence), text.clone().into_bytes());
                    text.into_bytes()
                }
            };
            let reply = Packet::new(key.route, key.client, ACK, packet.ack, end, &answer);
            let _ = socket.send_to(&reply.encode(), outbound);
        }
    }
}

// ---------------------------------------------------------------- routers and clients

/// The platform's router of one zone: which daemons are in rotation.
struct Router {
    daemons: Vec<(SocketAddrV4, SocketAddrV4, AtomicBool)>,
}

impl Router {
    fn start(machines: &[&Machine], record: &Arc<Record>) -> Arc<Self> {
        let daemons = machines.iter().map(|m| (m.at(DATA), m.at(READY), AtomicBool::new(false)));
        let router = Arc::new(Self { daemons: daemons.collect() });
        for index in 0..machines.len() {
            let (router, record, name) = (Arc::clone(&router), Arc::clone(record), machines[index].name.clone());
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let (_, ready, in_rotation) = &router.daemons[index];
                    misses = if http(*ready, "GET", "/ready", "") == 200 { 0 } else { misses + 1 };
                    let now_in = misses < 2 && (misses == 0 || in_rotation.load(Ordering::SeqCst));
                    if in_rotation.swap(now_in, Ordering::SeqCst) != now_in {
                        record.line(&format!("router: {name} is {} rotation", if now_in { "in" } else { "out of" }));
                    }
                    sleep(500);
                }
            });
        }
        router
    }
    /// The daemon for a flow: its own by the hash if that is in rotation, else another one.
    fn daemon(&self, port: u16) -> SocketAddrV4 {
        let count = self.daemons.len();
        let own = usize::from(port) % count;
        let usable = (0..count).map(|step| (own + step) % count);
        let mut usable = usable.filter(|index| self.daemons[*index].2.load(Ordering::SeqCst));
        self.daemons[usable.next().unwrap_or(own)].0
    }
    fn all_in_rotation(&self) -> bool {
        self.daemons.iter().all(|(.., in_rotation)| in_rotation.load(Ordering::SeqCst))
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Outcome {
    Answer(String),
    Reset(u64),
    Timeout,
}

/// One flow of a client, which is driven by its own thread.
struct Flow {
    socket: UdpSocket,
    sender: UdpSocket,
    key: Key,
    router: Arc<Router>,
    /// Sends to this daemon whatever the router says.
    direct: Option<SocketAddrV4>,
    sequence: u32,
    ack: u32,
    server: u32,
    record: Arc<Record>,
}

/// Sockets of a client machine: one per flow would need one address per flow, so that packets to the
/// client's address are shared out by port.
struct Client {
    ip: Ipv4Addr,
    socket: UdpSocket,
    inboxes: Arc<Mutex<HashMap<u16, UdpSocket>>>,
    exchange: SocketAddr,
}

impl Client {
    fn start(number: u8) -> Arc<Self> {
        let (a, b) = network();
        let ip = Ipv4Addr::new(127, a, b, number);
        let Ok(socket) = UdpSocket::bind((ip, DATA)) else { could_not_run("a client has no address") };
        let Ok(relay) = UdpSocket::bind("127.0.0.1:0") else { could_not_run("a client has no address") };
        let client = Arc::new(Self {
            ip,
            socket: socket.try_clone().unwrap(),
            inboxes: Arc::default(),
            exchange: relay.local_addr().unwrap(),
        });
        let inboxes = Arc::clone(&client.inboxes);
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            loop {
                let Ok((size, _)) = socket.recv_from(&mut buffer) else { continue };
                let Some(packet) = Packet::decode(&buffer[..size]) else { continue };
                let inboxes = inboxes.lock().unwrap();
                if let Some(inbox) = inboxes.get(&packet.destination.port()) {
                    let _ = relay.send_to(&buffer[..size], inbox.local_addr().unwrap());
                }
            }
        });
        client
    }
    fn flow(&self, port: u16, route: &str, router: &Arc<Router>, direct: Option<SocketAddrV4>, record: &Arc<Record>) -> Flow {
        let inbox = UdpSocket::bind("127.0.0.1:0").unwrap();
        inbox.connect(self.exchange).unwrap();
        self.inboxes.lock().unwrap().insert(port, inbox.try_clone().unwrap());
        Flow {
            socket: inbox,
            sender: self.socket.try_clone().unwrap(),
            key: Key { client: SocketAddrV4::new(self.ip, port), route: route.parse().unwrap() },
            router: Arc::clone(router),
            direct,
            sequence: 1_000_000 + u32::from(port) * 1_000,
            ack: 0,
            server: 0,
            record: Arc::clone(record),
        }
    }
}

impl Flow {
    fn send(&self, flags: u8, sequence: u32, ack: u32, data: &[u8]) {
        let packet = Packet::new(self.key.client, self.key.route, flags, sequence, ack, data);
        let to = self.direct.unwrap_or_else(|| self.router.daemon(self.key.client.port()));
        // The daemon may be down; the packet is sent again.
        let _ = self.sender.send_to(&packet.encode(), to);
    }
    fn receive(&self, until: Instant) -> Option<Packet> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _ = self.socket.set_read_timeout(Some(left));
        let mut buffer = [0; 2_048];
        let size = self.socket.recv(&mut buffer).ok()?;
        Packet::decode(&buffer[..size])
    }
    /// Opens the flow: a SYN, and copies after 200 ms and 600 ms; ends after 1.4 s.
    fn open(&mut self) -> Outcome {
        let sent_at = Instant::now();
        self.record.line(&format!("client opens {} > {}", self.key.client, self.key.route));
        for (copy, end) in [(0, 200), (1, 600), (2, 1_400)] {
            self.send(SYN, self.sequence, copy, b"");
            let until = sent_at + Duration::from_millis(end);
            while let Some(packet) = self.receive(until) {
                if packet.flags & RST != 0 {
                    self.record.line(&format!("client gets a reset of {} > {} before it is open", self.key.client, self.key.route));
                    return Outcome::Reset(self.record.ms());
                }
                if packet.flags & SYN != 0 {
                    self.sequence = self.sequence.wrapping_add(1);
                    self.ack = packet.sequence.wrapping_add(1);
                    self.server = packet.sequence >> 24;
                    self.send(ACK, self.sequence, self.ack, b"");
                    return Outcome::Answer(String::new());
                }
            }
        }
        self.record.line(&format!("client gets no answer to the SYNs of {} > {}", self.key.client, self.key.route));
        Outcome::Timeout
    }
    /// Sends a request and waits for its answer; retransmits after 200 ms, doubling up to 1.6 s.
    fn request(&mut self, id: &str, limit_ms: u64) -> Outcome {
        let data = format!("GET /{id} HTTP/1.1\r\nSassafrasmast-Request-Id: {id}\r\n\r\n");
        let end = self.sequence.wrapping_add(data.len() as u32);
        let until = Instant::now() + Duration::from_millis(limit_ms);
        let mut interval = 200;
        self.record.line(&format!("client sends {id} on {} > {}", self.key.client, self.key.route));
        loop {
            self.send(ACK, self.sequence, self.ack, data.as_bytes());
            let next = (Instant::now() + Duration::from_millis(interval)).min(until);
            while let Some(packet) = self.receive(next) {
                if packet.flags & RST != 0 {
                    self.record.line(&format!(
                        "client gets a reset of the open flow {} > {}, sum {}, seq {}, last ack {}",
                        self.key.client, self.key.route, packet.sum, packet.sequence, self.ack
                    ));
                    return Outcome::Reset(self.record.ms());
                }
                if packet.ack == end && !packet.data.is_empty() {
                    self.sequence = end;
                    self.ack = packet.sequence.wrapping_add(packet.data.len() as u32);
                    self.send(ACK, self.sequence, self.ack, b"");
                    self.record.line(&format!("client has the answer to {id}"));
                    return Outcome::Answer(id.to_owned());
                }
            }
            if Instant::now() >= until {
                self.record.line(&format!("client has no answer to {id} within {limit_ms} ms"));
                return Outcome::Timeout;
            }
            interval = (interval * 2).min(1_600);
        }
    }
    fn close(&self) {
        self.send(ACK | FIN, self.sequence, self.ack, b"");
    }
}

// ---------------------------------------------------------------- the deployment

const FEED: &str = "198.18.0.1:8443";
const BOOKING: &str = "198.18.0.1:8080";

/// A configuration with these further routes to `dispatch`, each an address of the platform.
fn config(version: u64, further: &[&str]) -> String {
    config_with(version, further, 2.0, 0.0)
}

/// As `config`, with the cold period and the cold rate of the services.
fn config_with(version: u64, further: &[&str], warmup_s: f64, warmup_per_s: f64) -> String {
    let route = |name: &str, host: &str, port: &str, kind: &str, service: &str, priority: u8| {
        format!(r#"{{"name":"{name}","host":"{host}","prefix":"/{port}/","kind":"{kind}","timeoutMs":1000,"targetLatencyMs":150,"priority":{priority},"service":"{service}","maxAttempts":2}}"#)
    };
    let mut routes = vec![
        route("feed", "198.18.0.1", "8443", "safe", "dispatch", 2),
        route("booking", "198.18.0.1", "8080", "non_idempotent", "dispatch", 1),
        route("upload", "198.18.0.2", "8443", "upload", "manifests", 2),
    ];
    for address in further {
        let (host, port) = address.split_once(':').unwrap();
        routes.push(route(&format!("further-{host}"), host, port, "safe", "dispatch", 2));
    }
    let service = |name: &str| format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":{warmup_s:.1},"warmupPerS":{warmup_per_s:.1}}}"#);
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        service("dispatch"),
        service("manifests")
    )
}

/// A small deployment like that of the site: four entry machines and ten servers in three zones.
struct Deployment {
    record: Arc<Record>,
    store: Store,
    fronts: Vec<Machine>,
    sides: Vec<Machine>,
    servers: Vec<Arc<Server>>,
    fleet: Fleet,
}

impl Deployment {
    /// Starts all processes and waits until the daemons are ready. `seeds` are the addresses of the
    /// settings; entry machines 1, 3 and 4 if there are none.
    fn start(record: &Arc<Record>, seeds: Option<Vec<SocketAddrV4>>) -> Self {
        let store = Store::start();
        store.put("op/config", &config(7, &[]));
        let zones = ["mvd-cerro", "mvd-cerro", "mvd-carrasco", "mvd-lapaz"];
        let fronts: Vec<Machine> = (1..).zip(zones).map(|(n, zone)| Machine::new(n, zone, "", &store)).collect();
        let of = |first: u8, service: &'static str, zones: &[&'static str]| -> Vec<Machine> {
            (first..).zip(zones).map(|(n, zone)| Machine::new(n, zone, service, &store)).collect()
        };
        let mut sides = of(11, "dispatch", &["mvd-cerro", "mvd-cerro", "mvd-cerro", "mvd-carrasco", "mvd-carrasco", "mvd-lapaz", "mvd-lapaz"]);
        sides.extend(of(18, "manifests", &["mvd-cerro", "mvd-carrasco", "mvd-lapaz"]));
        let mut fleet = Fleet::new(record);
        fleet.seeds = seeds.unwrap_or_else(|| [0, 2, 3].map(|index: usize| fronts[index].at(CONTROL)).to_vec());
        let mut servers = Vec::new();
        for machine in fronts.iter().chain(&sides) {
            fleet.start(machine);
        }
        sleep(500);
        for (number, machine) in (1..).zip(&sides) {
            servers.push(Server::start(&format!("i-{number:02}"), machine, number, record));
        }
        let deployment = Self { record: Arc::clone(record), store, fronts, sides, servers, fleet };
        wait_until("all daemons are ready", 10_000, || {
            deployment.fronts.iter().all(|front| http(front.at(READY), "GET", "/ready", "") == 200)
        });
        // All machines have to be in touch before anything happens.
        sleep(CONTACT_MS + 2_000);
        deployment
    }
    fn finish(&mut self, broken: u64, what: &str) -> ! {
        self.fleet.check_all_run();
        self.record.line(&format!("{broken} times: {what}"));
        for process in self.fleet.processes.values_mut() {
            process.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.fleet.folder);
        }
        println!("{broken} times: {what}");
        end(i32::from(broken > 0))
    }
}

fn wait_until(what: &str, limit_ms: u64, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    while !holds() {
        if Instant::now() >= until {
            could_not_run(what);
        }
        sleep(20);
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        could_not_run("usage: standin-3 CASE FOLDER")
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&folder);
    std::panic::set_hook(Box::new(|panic| could_not_run(&panic.to_string())));
    thread::spawn(|| {
        sleep(115_000);
        could_not_run("it takes too long");
    });
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    match case.as_str() {
        "late" => late(&record, trouble),
        "left" => left(&record, trouble),
        "drained" => drained(&record, trouble),
        "pinned" => pinned(&record, trouble),
        "returned" => returned(&record, trouble),
        _ => could_not_run("no such case"),
    }
}

// ---------------------------------------------------------------- cases

/// Two heartbeats of a server that has crashed arrive after a new lifetime has registered at its address.
fn late(record: &Arc<Record>, trouble: bool) -> ! {
    let mut all = Deployment::start(record, None);
    let router = Router::start(&[&all.fronts[0]], record);
    let client = Client::start(30);
    wait_until("the router uses the daemon", 5_000, || router.all_in_rotation());
    // The first server of the zone: two heartbeats are delayed on their way, then it crashes.
    let before = Arc::clone(&all.servers[0]);
    let machine = before.machine.clone();
    before.cut.store(true, Ordering::SeqCst);
    let mut delayed = Vec::new();
    for _ in 0..2 {
        sleep(HEARTBEAT_MS);
        let body = before.heartbeat();
        if trouble {
            record.line("server i-01 sends a heartbeat, which is delayed on its way");
            delayed.push(body);
        } else {
            let status = http(machine.at(CONTROL), "POST", "/instances/i-01/heartbeat", &body);
            record.line(&format!("a heartbeat of server i-01 arrives: {status}"));
        }
    }
    sleep(100);
    before.crash();
    record.line("server i-01 crashes");
    sleep(1_000);
    let server = Server::start("i-31", &machine, 31, record);
    let started_at = Instant::now();
    // It is registered: a heartbeat of it is acknowledged.
    wait_until("the new lifetime is acknowledged", 3_000, || server.announce() == 200);
    let after = |ms: u64| {
        while started_at.elapsed() < Duration::from_millis(ms) {
            sleep(2);
        }
    };
    // Long flows are opened; those at the new lifetime are used from now on.
    let mut flows = Vec::new();
    let mut port = 41_000;
    while started_at.elapsed() < Duration::from_millis(1_500) {
        port += 1;
        let mut flow = client.flow(port, FEED, &router, None, record);
        if flow.open() != Outcome::Answer(String::new()) {
            continue;
        }
        if flow.server == 31 && flows.len() < 6 {
            flows.push(flow);
        } else {
            flow.close();
        }
        sleep(5);
    }
    if flows.is_empty() {
        could_not_run("no flow reached the new lifetime");
    }
    let until = started_at + Duration::from_millis(14_000);
    let threads: Vec<_> = flows
        .into_iter()
        .map(|mut flow| {
            let (server, record) = (Arc::clone(&server), Arc::clone(record));
            thread::spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let id = format!("r-{}-{number}", flow.key.client.port());
                    if let Outcome::Reset(_) = flow.request(&id, 1_000) {
                        let is_held = server.holds(&flow.key);
                        let calm_ms = started_at.elapsed().as_millis() as u64;
                        record.line(&format!(
                            "server i-31 holds the flow {}: {is_held}; {calm_ms} ms since the last trouble of it, its machine or its links",
                            flow.key.client
                        ));
                        return u64::from(is_held && calm_ms > CONTACT_MS);
                    }
                    sleep(400);
                }
                0
            })
        })
        .collect();
    for (body, at) in delayed.iter().zip([1_900, 4_000]) {
        after(at);
        let status = http(machine.at(CONTROL), "POST", "/instances/i-01/heartbeat", body);
        record.line(&format!("a delayed heartbeat of server i-01 arrives: {status} {body}"));
    }
    let broken = threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum();
    all.finish(broken, "a client got a reset of an open flow that the flow's server did not send")
}

/// The deregistration of a server that has ended arrives after a new lifetime has registered at its address.
fn left(record: &Arc<Record>, trouble: bool) -> ! {
    let mut all = Deployment::start(record, None);
    let router = Router::start(&[&all.fronts[0]], record);
    let client = Client::start(30);
    wait_until("the router uses the daemon", 5_000, || router.all_in_rotation());
    let before = Arc::clone(&all.servers[0]);
    let machine = before.machine.clone();
    // While its calls are delayed it gets no confirmation, so it exits anyway.
    before.cut.store(trouble, Ordering::SeqCst);
    before.draining.store(true, Ordering::SeqCst);
    record.line("server i-01 says that it leaves");
    sleep(3_500);
    let deregistration = format!(r#"{{"born":{}}}"#, before.born);
    if trouble {
        record.line("server i-01 deregisters; the call is delayed on its way; it has no confirmation and exits; the link is good again");
    } else {
        let status = http(machine.at(CONTROL), "POST", "/instances/i-01/deregister", &deregistration);
        record.line(&format!("server i-01 deregisters: {status}; it exits"));
    }
    before.crash();
    let calm_since = Instant::now();
    sleep(3_500);
    // A server may start again under the id that it had; its start time tells the two apart.
    let server = Server::start("i-01", &machine, 31, record);
    let started_at = Instant::now();
    wait_until("the new lifetime is acknowledged", 3_000, || server.announce() == 200);
    let mut flows = Vec::new();
    let mut port = 41_000;
    while started_at.elapsed() < Duration::from_millis(900) {
        port += 1;
        let mut flow = client.flow(port, FEED, &router, None, record);
        if flow.open() != Outcome::Answer(String::new()) {
            continue;
        }
        if flow.server == 31 && flows.len() < 6 {
            flows.push(flow);
        } else {
            flow.close();
        }
        sleep(5);
    }
    if flows.is_empty() {
        could_not_run("no flow reached the new lifetime");
    }
    let until = started_at + Duration::from_millis(8_000);
    let threads: Vec<_> = flows
        .into_iter()
        .map(|mut flow| {
            let (server, record) = (Arc::clone(&server), Arc::clone(record));
            thread::spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let id = format!("r-{}-{number}", flow.key.client.port());
                    if let Outcome::Reset(_) = flow.request(&id, 1_000) {
                        let is_held = server.holds(&flow.key);
                        let calm_ms = calm_since.elapsed().as_millis() as u64;
                        record.line(&format!(
                            "the server holds the flow {}: {is_held}; {calm_ms} ms since the last trouble of its machine and links",
                            flow.key.client
                        ));
                        return u64::from(is_held && calm_ms > CONTACT_MS);
                    }
                    sleep(400);
                }
                0
            })
        })
        .collect();
    while started_at.elapsed() < Duration::from_millis(1_500) {
        sleep(2);
    }
    if trouble {
        let status = http(machine.at(CONTROL), "POST", "/instances/i-01/deregister", &deregistration);
        record.line(&format!("the delayed deregistration of server i-01 arrives: {status}"));
    }
    let broken = threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum();
    all.finish(broken, "a client got a reset of an open flow that the flow's server did not send")
}

/// Three heartbeats of a server that has crashed arrive while the new lifetime at its address is draining.
fn drained(record: &Arc<Record>, trouble: bool) -> ! {
    const DRAIN_MS: u64 = 3_000;
    let mut all = Deployment::start(record, None);
    let router = Router::start(&[&all.fronts[0]], record);
    let client = Client::start(30);
    wait_until("the router uses the daemon", 5_000, || router.all_in_rotation());
    let before = Arc::clone(&all.servers[0]);
    let machine = before.machine.clone();
    before.cut.store(trouble, Ordering::SeqCst);
    let mut delayed = Vec::new();
    for _ in 0..3 {
        sleep(HEARTBEAT_MS);
        if trouble {
            record.line("server i-01 sends a heartbeat, which is delayed on its way");
            delayed.push(before.heartbeat());
        }
    }
    sleep(100);
    before.crash();
    record.line("server i-01 crashes");
    sleep(500);
    let server = Server::start("i-31", &machine, 31, record);
    // The new lifetime runs for some heartbeats, then it is to leave.
    sleep(2 * HEARTBEAT_MS + 300);
    server.draining.store(true, Ordering::SeqCst);
    wait_until("the draining is acknowledged", 3_000, || server.announce() == 200);
    let acknowledged_at = Instant::now();
    record.line("server i-31 says that it is draining: acknowledged");
    let bound = acknowledged_at + Duration::from_millis(DRAIN_MS);
    while Instant::now() < bound {
        sleep(2);
    }
    record.line("server i-31 is to get nothing from now on");
    let last = *server.announced_at.lock().unwrap();
    wait_until("a heartbeat", 3_000, || *server.announced_at.lock().unwrap() > last);
    for (index, body) in delayed.iter().enumerate() {
        if index > 0 {
            sleep(525);
        }
        let status = http(machine.at(CONTROL), "POST", "/instances/i-01/heartbeat", body);
        record.line(&format!("a delayed heartbeat of server i-01 arrives: {status} {body}"));
    }
    let until = Instant::now() + Duration::from_millis(5_000);
    let mut broken = 0;
    let mut port = 41_000;
    while Instant::now() < until {
        port += 1;
        let mut flow = client.flow(port, FEED, &router, None, record);
        if flow.open() == Outcome::Answer(String::new()) {
            if flow.server == 31 {
                broken += 1;
                record.line(&format!("a flow reaches server i-31 {} ms after its draining was acknowledged", acknowledged_at.elapsed().as_millis()));
            }
            let _ = flow.request(&format!("r-{port}"), 1_000);
            flow.close();
        }
        sleep(20);
    }
    all.finish(broken, "a flow reached a server later than drainMs after its draining was acknowledged")
}

/// One answer of the store to an entry machine is lost, and the machine that shows it the change first is
/// lost for good.
fn pinned(record: &Arc<Record>, trouble: bool) -> ! {
    const ADDED: &str = "198.18.0.9:8443";
    let mut all = Deployment::start(record, None);
    sleep(2_000);
    let router = Router::start(&[&all.fronts[1]], record);
    let client = Client::start(30);
    let front = all.fronts[1].clone();
    wait_until("the router uses the daemon", 5_000, || router.all_in_rotation());
    front.gate.loses_next.store(trouble, Ordering::SeqCst);
    all.store.put("op/config", &config(9, &[ADDED]));
    let confirmed_at = Instant::now();
    record.line("the store confirms version 9, which adds the route 198.18.0.9:8443");
    wait_until("the answer is lost", 1_000, || !front.gate.loses_next.load(Ordering::SeqCst));
    if trouble {
        record.line(&format!("the answer to the watch of {} is lost", front.name));
    }
    sleep(5);
    // A client opens a flow through that daemon, and so the agent beside the server shows it the change.
    let mut flow = client.flow(42_000, FEED, &router, Some(front.at(DATA)), record);
    if flow.open() != Outcome::Answer(String::new()) {
        could_not_run("no server took the flow");
    }
    let index = flow.server as usize - 1;
    let (lost, server) = (all.sides[index].clone(), Arc::clone(&all.servers[index]));
    if trouble {
        server.crash();
        all.fleet.kill(&lost);
        record.line(&format!("{} is lost for good", lost.name));
        silence(&lost);
    }
    // In touch again `contactMs` after the lost answer.
    let bound = confirmed_at + Duration::from_millis(CONFIG_APPLY_MS.max(CONTACT_MS + 50));
    while Instant::now() < bound {
        sleep(2);
    }
    record.line("the configuration has to be in force, and the daemon is in touch");
    let until = bound + Duration::from_millis(5_000);
    let mut refused = 0;
    let mut port = 43_000;
    while Instant::now() < until {
        port += 1;
        let sent_at = confirmed_at.elapsed().as_millis();
        let mut flow = client.flow(port, ADDED, &router, Some(front.at(DATA)), record);
        match flow.open() {
            Outcome::Reset(_) => {
                refused += 1;
                record.line(&format!("refused, sent {sent_at} ms after the confirmation"));
            }
            Outcome::Answer(_) => {
                flow.close();
                record.line(&format!("served, sent {sent_at} ms after the confirmation"));
            }
            Outcome::Timeout => {}
        }
        sleep(100);
    }
    all.finish(refused, "a flow to an added route was refused later than configApplyMs after its confirmation")
}

/// From now on nothing answers at a machine's address for frames: connections to it hang.
fn silence(machine: &Machine) {
    if let Ok(listener) = TcpListener::bind(machine.at(FRAMES)) {
        thread::spawn(move || {
            let held: Vec<_> = listener.incoming().collect();
            drop(held);
        });
    }
    if let Ok(socket) = UdpSocket::bind(machine.at(FRAMES)) {
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while socket.recv(&mut buffer).is_ok() {}
        });
    }
}


/// A zone is taken back whose servers have become cold; a heartbeat that one of them sent just before that
/// arrives just after.
fn returned(record: &Arc<Record>, trouble: bool) -> ! {
    const COLD_MS: u64 = 10_000;
    const COLD_PER_S: f64 = 6.0;
    // `warmupPerS` x `coldOverage` + `coldSlack`.
    const ALLOWED: u64 = 14;
    let mut all = Deployment::start(record, None);
    all.store.put("op/config", &config_with(9, &[], COLD_MS as f64 / 1e3, COLD_PER_S));
    sleep(CONFIG_APPLY_MS);
    let router = Router::start(&[&all.fronts[0], &all.fronts[1]], record);
    let client = Client::start(30);
    wait_until("the router uses both daemons", 5_000, || router.all_in_rotation());
    // Clients of the zone open 150 flows a second, a request each.
    let sent: Arc<Mutex<HashMap<Key, Instant>>> = Arc::default();
    let until = Instant::now() + Duration::from_millis(14_000);
    let threads: Vec<_> = (0..15_u16)
        .map(|thread| {
            let (client, router, record, sent) =
                (Arc::clone(&client), Arc::clone(&router), Arc::clone(record), Arc::clone(&sent));
            thread::spawn(move || {
                let mut port = 20_000 + 1_000 * thread;
                let mut next = Instant::now() + Duration::from_millis(6 * u64::from(thread));
                while Instant::now() < until {
                    while Instant::now() < next {
                        sleep(1);
                    }
                    next += Duration::from_millis(100);
                    port += 1;
                    let mut flow = client.flow(port, BOOKING, &router, None, &record);
                    sent.lock().unwrap().insert(flow.key, Instant::now());
                    if flow.open() == Outcome::Answer(String::new()) {
                        let _ = flow.request(&format!("r-{port}"), 1_000);
                        flow.close();
                    }
                }
            })
        })
        .collect();
    sleep(2_000);
    all.store.put("op/evacuate/mvd-cerro", "{}");
    record.line("zone mvd-cerro is to get nothing");
    sleep(6_000);
    let server = Arc::clone(&all.servers[0]);
    // From here on the heartbeats of the first server are sent by hand, at the same interval.
    server.cut.store(true, Ordering::SeqCst);
    sleep(HEARTBEAT_MS);
    let first = Instant::now();
    let after = |ms: u64| {
        while first.elapsed() < Duration::from_millis(ms) {
            sleep(1);
        }
    };
    let warm = server.heartbeat();
    let deliver = || http(server.machine.at(CONTROL), "POST", &format!("/instances/{}/heartbeat", server.id), &warm);
    if trouble {
        record.line("server i-01 sends a heartbeat, which is delayed on its way");
    } else {
        record.line(&format!("a heartbeat of server i-01 arrives: {}", deliver()));
    }
    after(100);
    for cold in &all.servers[..3] {
        cold.cool(COLD_MS);
    }
    record.line("the servers of the zone have become cold");
    after(200);
    all.store.content.0.lock().unwrap().remove("op/evacuate/mvd-cerro");
    all.store.content.1.notify_all();
    record.line("zone mvd-cerro is taken back");
    after(300);
    if trouble {
        record.line(&format!("the delayed heartbeat of server i-01 arrives: {}", deliver()));
    }
    for round in 1..4 {
        after(round * HEARTBEAT_MS);
        record.line(&format!("a heartbeat of server i-01 arrives: {}", server.announce()));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let arrivals = server.state.lock().unwrap().arrivals.clone();
    let sent = sent.lock().unwrap();
    let cold_at = first + Duration::from_millis(100);
    let cold_arrivals: Vec<_> = arrivals.iter().filter(|(_, at)| *at >= cold_at).collect();
    let mut most = 0;
    for (key, at) in &cold_arrivals {
        let from = sent.get(key).copied().unwrap_or(*at);
        let to = from + Duration::from_secs(1);
        let inside = cold_arrivals.iter().filter(|(key, at)| {
            let sent_at = sent.get(key).copied().unwrap_or(*at);
            sent_at >= from && *at < to
        });
        most = most.max(inside.count() as u64);
    }
    record.line(&format!("the cold server i-01 got {most} flows in one second at most; {ALLOWED} are allowed"));
    println!("{most} flows in one second at most, {ALLOWED} allowed");
    all.finish(most.saturating_sub(ALLOWED), "a cold server got a flow too many in one second")
}

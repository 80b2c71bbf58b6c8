//! Stand-ins of the platform (store, router, servers, clients) and the cases that use them.
//! Standard library only. Usage: `standin CASE PROGRAM RECORD`.
//!
//! The program under test runs as separate processes, one loopback address for each machine. The
//! store has one address for each machine, so that it can leave some machines without a response.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const DATA: u16 = 8172;
const READY: u16 = 8167;
const CONTROL: u16 = 8166;
const APP: u16 = 8165;
const OUTBOUND: u16 = 8162;
const FRAMES: u16 = 7720;
const STORE: u16 = 8169;
const METRICS: u16 = 9464;

const HEARTBEAT_MS: u64 = 1_200;
const CONTACT_MS: u64 = 4_000;
const DRAIN_MS: u64 = 3_000;
const GRACE_MS: u64 = 6_000;
const EVACUATION_MS: u64 = 5_000;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

const SYN: u8 = 1;
const BOUNCED: u8 = 2;
const FIN: u8 = 4;
const ACK: u8 = 8;
const RST: u8 = 128;
/// Stands for the keyed sum, which the stand-ins do not compute. A reset of the system has 0.
const SUM: [u8; 4] = [0xa1, 0xb2, 0xc3, 0xd5];

const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 8443);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------------------------------------
// Record

/// The run's clock and its record.
struct Run {
    started: Instant,
    net: [u8; 2],
    program: PathBuf,
    directory: PathBuf,
    file: Mutex<File>,
    trouble: bool,
}

impl Run {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now() as f64 / 1e3);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    fn until(&self, at: u64) {
        let now = self.now();
        if at > now {
            thread::sleep(ms(at - now));
        }
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], machine)
    }

    fn at(&self, machine: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), port)
    }

    /// The store's address for a machine.
    fn store_at(&self, machine: u8) -> SocketAddrV4 {
        self.at(100 + machine, STORE)
    }
}

// ---------------------------------------------------------------------------------------------
// Values in JSON, as far as calls to the store need them

#[derive(Debug, Clone)]
enum Json {
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
    Other,
}

impl Json {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::space(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut members = Vec::new();
                loop {
                    Self::space(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Object(members));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(name) = Self::value(bytes, at)? else {
                                return None;
                            };
                            Self::space(bytes, at);
                            *at += 1; // the colon
                            members.push((name, Self::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return String::from_utf8(text).ok().map(Self::Text);
                        }
                        b'\\' => {
                            text.push(*bytes.get(*at + 1)?);
                            *at += 2;
                        }
                        other => {
                            text.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while bytes
                    .get(*at)
                    .is_some_and(|byte| !b",]}".contains(byte) && !byte.is_ascii_whitespace())
                {
                    *at += 1;
                }
                let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(word.parse().map_or(Self::Other, Self::Number))
            }
        }
    }

    fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(members) = self else {
            return None;
        };
        members
            .iter()
            .find(|member| member.0 == name)
            .map(|member| &member.1)
    }

    fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self, name: &str) -> i64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as i64,
            _ => 0,
        }
    }

    fn list(&self, name: &str) -> Vec<Self> {
        match self.get(name) {
            Some(Self::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(group >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    body: Vec<u8>,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
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
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        body,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            at += 3;
        } else {
            out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8(out).unwrap_or_default()
}

fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).is_ok()
}

/// Makes a call on a connection of its own; 0 if there is no response within a second.
fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> u16 {
    call_within(1_000, to, method, path, body)
}

/// As [`call`], with another time limit in milliseconds.
fn call_within(limit: u64, to: SocketAddrV4, method: &str, path: &str, body: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), ms(limit))?;
        stream.set_read_timeout(Some(ms(limit)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut reply = [0; 256];
        let size = stream.read(&mut reply)?;
        let text = String::from_utf8_lossy(&reply[..size]).into_owned();
        Ok(text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0))
    };
    exchange().unwrap_or(0)
}

// ---------------------------------------------------------------------------------------------
// The platform's store

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
    events: Vec<(i64, String, Option<Item>)>,
    leases: HashMap<i64, (u64, Instant)>,
    next_lease: i64,
    /// Machines that get no response.
    unanswered: HashSet<u8>,
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.events
            .push((self.revision, key.to_owned(), Some(item.clone())));
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
        self.leases.retain(|_, lease| lease.1 > now);
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

    fn handle(&mut self, request: &Request) -> (u16, String) {
        self.expire();
        let body = Json::parse(&request.body).unwrap_or(Json::Other);
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let id = || {
            let last = request.path.rsplit('/').next().unwrap_or_default();
            last.parse::<i64>().unwrap_or(0)
        };
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => match self.items.get(&text("key")) {
                Some(item) => {
                    let mut reply = encode(&text("key"), item);
                    reply.pop();
                    (
                        200,
                        format!("{reply},\"storeRevision\":{}}}", self.revision),
                    )
                }
                None => (404, format!("{{\"storeRevision\":{}}}", self.revision)),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (text("prefix"), text("after"));
                let all: Vec<String> = self
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| encode(key, item))
                    .collect();
                let page = &all[..all.len().min(500)];
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"hasMore\":{},\"storeRevision\":{}}}",
                        page.join(","),
                        page.len() < all.len(),
                        self.revision
                    ),
                )
            }
            ("POST", "/kv-txn") => {
                let holds = body.list("expectedRev").iter().all(|row| {
                    let known = self.items.get(&row.text("key"));
                    known.map_or(0, |item| item.revision) == row.number("revision")
                });
                if !holds {
                    return (412, "{\"items\":[]}".to_owned());
                }
                for row in body.list("puts") {
                    let lease = row.number("lease");
                    if lease != 0 && !self.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                }
                for row in body.list("puts") {
                    self.put(&row.text("key"), row.text("value"), row.number("lease"));
                }
                for key in body.list("remove") {
                    if let Json::Text(key) = key {
                        self.remove(&key);
                    }
                }
                (200, format!("{{\"revision\":{}}}", self.revision))
            }
            ("POST", "/kv-lease") => {
                let ttl = body.number("ttlMs").max(1_000) as u64;
                self.next_lease += 1;
                self.leases
                    .insert(self.next_lease, (ttl, Instant::now() + ms(ttl)));
                (
                    200,
                    format!("{{\"lease\":{},\"ttlMs\":{ttl}}}", self.next_lease),
                )
            }
            ("POST", path) if path.starts_with("/kv-keep/") => match self.leases.get_mut(&id()) {
                Some((ttl, until)) => {
                    *until = Instant::now() + ms(*ttl);
                    (200, format!("{{\"ttlMs\":{ttl}}}"))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.leases.remove(&id());
                self.expire();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

#[derive(Default)]
struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    /// Serves a machine at its own address of the store.
    fn serve(self: &Arc<Self>, run: &Arc<Run>, machine: u8) {
        let listener = TcpListener::bind(run.store_at(machine)).unwrap_or_else(|_| quit(2));
        let (store, run) = (Arc::clone(self), Arc::clone(run));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, run) = (Arc::clone(&store), Arc::clone(&run));
                thread::spawn(move || store.serve_connection(&run, machine, stream));
            }
        });
    }

    fn serve_connection(&self, run: &Run, machine: u8, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        // A connection on which a response was lost returns nothing further.
        let mut is_dead = false;
        while let Some(request) = read_request(&mut reader) {
            if is_dead {
                continue;
            }
            let reply = if request.path == "/kv-watch" {
                self.watch(&request)
            } else {
                let mut content = self.content.lock().unwrap();
                if content.unanswered.contains(&machine) {
                    None
                } else {
                    Some(content.handle(&request))
                }
            };
            self.changed.notify_all();
            let is_lost = self.content.lock().unwrap().unanswered.contains(&machine);
            match reply.filter(|_| !is_lost) {
                Some((status, body)) => {
                    if !write_response(&mut stream, status, &body) {
                        return;
                    }
                }
                None => {
                    run.note(&format!(
                        "store: no response to machine {machine} for {} {}",
                        request.method, request.path
                    ));
                    is_dead = true;
                }
            }
        }
    }

    fn watch(&self, request: &Request) -> Option<(u16, String)> {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let after: i64 = number("after").unwrap_or(0);
        let until = Instant::now() + ms(number("waitMs").unwrap_or(0) as u64);
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let mut content = self.content.lock().unwrap();
        loop {
            content.expire();
            let events: Vec<String> = content
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => encode(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                return Some((
                    200,
                    format!(
                        "{{\"events\":[{}],\"storeRevision\":{}}}",
                        events.join(","),
                        content.revision
                    ),
                ));
            }
            content = self.changed.wait_timeout(content, ms(50)).unwrap().0;
        }
    }

    /// Writes a key as the operator does. The return is the confirmation.
    fn put(&self, key: &str, value: &str) {
        let mut content = self.content.lock().unwrap();
        content.put(key, base64(value.as_bytes()), 0);
        drop(content);
        self.changed.notify_all();
    }

    fn remove(&self, key: &str) {
        self.content.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    fn leave_unanswered(&self, machines: &[u8]) {
        self.content.lock().unwrap().unanswered = machines.iter().copied().collect();
    }

    fn count(&self, prefix: &str) -> usize {
        let content = self.content.lock().unwrap();
        content
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }
}

// ---------------------------------------------------------------------------------------------
// Packets

type Key = (SocketAddrV4, SocketAddrV4);

struct Packet {
    source: SocketAddrV4,
    destination: SocketAddrV4,
    sum: [u8; 4],
    flags: u8,
    sequence: u32,
    acknowledgement: u32,
    data: Vec<u8>,
}

impl Packet {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 4];
        bytes.extend(self.source.ip().octets());
        bytes.extend(self.destination.ip().octets());
        bytes.extend(self.source.port().to_be_bytes());
        bytes.extend(self.destination.port().to_be_bytes());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.sum);
        bytes.push(self.flags);
        bytes.extend([0; 5]);
        bytes.extend(self.sequence.to_be_bytes());
        bytes.extend(self.acknowledgement.to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < 36 {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        Some(Self {
            source: SocketAddrV4::new(Ipv4Addr::from_bits(word(4)), half(12)),
            destination: SocketAddrV4::new(Ipv4Addr::from_bits(word(8)), half(14)),
            sum: bytes[18..22].try_into().unwrap(),
            flags: bytes[22],
            sequence: word(28),
            acknowledgement: word(32),
            data: bytes[36..].to_vec(),
        })
    }
}

// ---------------------------------------------------------------------------------------------
// Servers

/// A flow whose SYN a server took.
#[derive(Clone)]
struct Taken {
    at: u64,
    key: Key,
}

struct HeldFlow {
    sequence: u32,
    is_open: bool,
    is_closed: bool,
    /// The last request's end in the client's numbers, and the answer to it.
    answered: Option<(u32, Vec<u8>)>,
}

/// What a server says of itself.
struct Standing {
    draining: bool,
    cold_until: Option<u64>,
    sequence: u64,
}

struct Server {
    id: String,
    machine: u8,
    zone: &'static str,
    /// Unix time of its start in milliseconds, by its machine's clock.
    born: u64,
    work: Duration,
    standing: Mutex<Standing>,
    taken: Mutex<Vec<Taken>>,
    stopped: AtomicBool,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Server {
    /// Starts a server that says so at once and then each heartbeat interval, counted from
    /// `first_beat_at`.
    fn start(
        run: &Arc<Run>,
        id: &str,
        machine: u8,
        zone: &'static str,
        clock_offset_ms: i64,
        work: Duration,
        beats_at: u64,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            id: id.to_owned(),
            machine,
            zone,
            born: (unix_ms() as i64 + clock_offset_ms) as u64,
            work,
            standing: Mutex::new(Standing {
                draining: false,
                cold_until: None,
                sequence: 0,
            }),
            taken: Mutex::new(Vec::new()),
            stopped: AtomicBool::new(false),
        });
        run.note(&format!(
            "server {id} starts on machine {machine} ({zone}), born {}",
            server.born
        ));
        let mut socket = UdpSocket::bind(run.at(machine, APP));
        while socket.is_err() {
            // An earlier server's thread ends within its read timeout.
            thread::sleep(ms(5));
            socket = UdpSocket::bind(run.at(machine, APP));
        }
        let socket = socket.unwrap();
        socket.set_read_timeout(Some(ms(2))).unwrap();
        let (own, its_run) = (Arc::clone(&server), Arc::clone(run));
        thread::spawn(move || own.serve(&its_run, &socket));
        let (own, its_run) = (Arc::clone(&server), Arc::clone(run));
        thread::spawn(move || {
            while own.beat(&its_run) != 200 && !own.stopped.load(Ordering::Relaxed) {
                thread::sleep(ms(50));
            }
            let mut next = beats_at;
            while !own.stopped.load(Ordering::Relaxed) {
                if its_run.now() >= next {
                    own.beat(&its_run);
                    while next <= its_run.now() {
                        next += HEARTBEAT_MS;
                    }
                }
                thread::sleep(ms(2));
            }
        });
        server
    }

    /// Sends one heartbeat and returns the response's status.
    fn beat(&self, run: &Run) -> u16 {
        let (state, cold_left, sequence) = {
            let mut standing = self.standing.lock().unwrap();
            standing.sequence += 1;
            let cold_left = standing
                .cold_until
                .map_or(0, |until| until.saturating_sub(run.now()));
            let state = if standing.draining {
                "draining"
            } else {
                "ready"
            };
            (state, cold_left, standing.sequence)
        };
        let body = format!(
            "{{\"service\":\"booking\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":5,\"state\":\"{state}\",\"warmupLeftMs\":{cold_left},\"sequence\":{sequence},\"born\":{}}}",
            run.at(self.machine, APP),
            self.zone,
            self.born
        );
        let path = format!("/instances/{}/heartbeat", self.id);
        let status = call(run.at(self.machine, CONTROL), "POST", &path, &body);
        run.note(&format!(
            "server {} heartbeat {sequence}: {state}, cold for {cold_left} ms -> {status}",
            self.id
        ));
        status
    }

    fn stop(&self, run: &Run, how: &str) {
        self.stopped.store(true, Ordering::Relaxed);
        run.note(&format!("server {} {how}", self.id));
    }

    fn serve(&self, run: &Run, socket: &UdpSocket) {
        let outbound = run.at(self.machine, OUTBOUND);
        let mut flows: HashMap<Key, HeldFlow> = HashMap::new();
        let mut slots = [Instant::now(); 5];
        let mut answers: Vec<(Instant, Vec<u8>)> = Vec::new();
        let mut buffer = [0; 2_048];
        let mut next_sequence = 0x1000_0000 + self.born as u32 % 1_000_000 * 16;
        while !self.stopped.load(Ordering::Relaxed) {
            let now = Instant::now();
            answers.retain(|(at, bytes)| {
                let is_due = *at <= now;
                if is_due {
                    let _ = socket.send_to(bytes, outbound);
                }
                !is_due
            });
            let Ok((size, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(packet) = Packet::decode(&buffer[..size]) else {
                continue;
            };
            let key = (packet.source, packet.destination);
            let reply = |flags, sequence, acknowledgement, data: &[u8]| Packet {
                source: packet.destination,
                destination: packet.source,
                sum: SUM,
                flags,
                sequence,
                acknowledgement,
                data: data.to_vec(),
            };
            if packet.flags & SYN != 0 {
                let flow = flows.entry(key).or_insert_with(|| {
                    next_sequence = next_sequence.wrapping_add(100_003);
                    self.taken
                        .lock()
                        .unwrap()
                        .push(Taken { at: run.now(), key });
                    run.note(&format!("server {} takes SYN of {}", self.id, key.0));
                    HeldFlow {
                        sequence: next_sequence,
                        is_open: false,
                        is_closed: false,
                        answered: None,
                    }
                });
                let bytes = reply(SYN | ACK, flow.sequence, packet.sequence + 1, b"").encode();
                let _ = socket.send_to(&bytes, outbound);
                continue;
            }
            let is_held = flows.get(&key).is_some_and(|flow| {
                flow.is_open || packet.acknowledgement == flow.sequence.wrapping_add(1)
            });
            if !is_held {
                let mut bytes = buffer[..size].to_vec();
                bytes[22] |= BOUNCED;
                bytes[23..28].fill(0);
                let _ = socket.send_to(&bytes, outbound);
                continue;
            }
            let flow = flows.get_mut(&key).unwrap();
            flow.is_open = true;
            if packet.flags & RST != 0 {
                flows.remove(&key);
                continue;
            }
            if packet.flags & FIN != 0 {
                flow.is_closed = true;
                let end = packet.sequence + 1;
                let bytes = reply(FIN | ACK, packet.acknowledgement, end, b"").encode();
                let _ = socket.send_to(&bytes, outbound);
                continue;
            }
            if packet.data.is_empty() {
                continue;
            }
            if flow.is_closed {
                let bytes = reply(RST, packet.acknowledgement, 0, b"").encode();
                let _ = socket.send_to(&bytes, outbound);
                continue;
            }
            let end = packet.sequence + packet.data.len() as u32;
            let is_copy = flow
                .answered
                .as_ref()
                .is_some_and(|(known, _)| *known >= end);
            if is_copy {
                // The answer is on its way or was lost: it is sent again.
                let (known, bytes) = flow.answered.clone().unwrap();
                if known == end && answers.iter().all(|(_, waiting)| *waiting != bytes) {
                    let _ = socket.send_to(&bytes, outbound);
                }
                continue;
            }
            let slot = slots.iter_mut().min().unwrap();
            let done_at = now.max(*slot) + self.work;
            *slot = done_at;
            run.note(&format!("server {} runs a request of {}", self.id, key.0));
            let answer = reply(ACK, packet.acknowledgement, end, self.id.as_bytes()).encode();
            flow.answered = Some((end, answer.clone()));
            answers.push((done_at, answer));
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Router and clients

/// The balancers of a zone, and which of them are in rotation.
struct Router {
    balancers: Vec<(u8, AtomicBool)>,
}

impl Router {
    fn start(run: &Arc<Run>, machines: &[u8]) -> Arc<Self> {
        let router = Arc::new(Self {
            balancers: machines
                .iter()
                .map(|machine| (*machine, AtomicBool::new(false)))
                .collect(),
        });
        for index in 0..machines.len() {
            let (router, run) = (Arc::clone(&router), Arc::clone(run));
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let (machine, in_rotation) = &router.balancers[index];
                    let probed_at = run.now();
                    let to = run.at(*machine, READY);
                    let is_ready = call_within(450, to, "GET", "/ready", "") == 200;
                    misses = if is_ready { 0 } else { misses + 1 };
                    let before = in_rotation.load(Ordering::Relaxed);
                    let after = if is_ready { true } else { before && misses < 2 };
                    if before != after {
                        in_rotation.store(after, Ordering::Relaxed);
                        run.note(&format!("router: machine {machine} in rotation: {after}"));
                    }
                    run.until(probed_at + 500);
                }
            });
        }
        router
    }

    /// The balancer for a flow: by hash over those in rotation, so that a change moves the flows of
    /// that balancer only.
    fn pick(&self, port: u16) -> Option<u8> {
        let score = |machine: u8| {
            let mut hash = u64::from(port) << 8 | u64::from(machine);
            hash = (hash ^ hash >> 31).wrapping_mul(0x7fb5_d329_728e_a185);
            hash = (hash ^ hash >> 27).wrapping_mul(0x81da_def4_bc2d_d44d);
            hash ^ hash >> 33
        };
        self.balancers
            .iter()
            .filter(|(_, in_rotation)| in_rotation.load(Ordering::Relaxed))
            .map(|(machine, _)| *machine)
            .max_by_key(|machine| score(*machine))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Opening,
    Waiting,
    Idle,
    Closing,
    Done,
}

struct ClientFlow {
    port: u16,
    phase: Phase,
    /// Time between requests of a feed; `None` for a flow with one request.
    pause: Option<u64>,
    syn_at: u64,
    copies: u32,
    sequence: u32,
    acknowledgement: u32,
    request_at: u64,
    /// Time of the next packet.
    next_at: u64,
    interval: u64,
    server: String,
    end: u32,
}

/// A reset of the system that reached a client.
#[derive(Clone)]
struct Reset {
    at: u64,
    port: u16,
    server: String,
    was_open: bool,
}

#[derive(Default)]
struct Tally {
    /// When the client sent the first SYN of each port.
    syn_at: HashMap<u16, u64>,
    resets: Vec<Reset>,
    answered: u64,
    unanswered: u64,
}

struct Client {
    machine: u8,
    router: Arc<Router>,
    /// Flows with one request that begin each second.
    per_s: AtomicU64,
    feeds: u16,
    feed_pause: u64,
    /// Time between the openings of feeds at the start.
    feed_gap: u64,
    tally: Mutex<Tally>,
}

impl Client {
    fn start(
        run: &Arc<Run>,
        machine: u8,
        router: &Arc<Router>,
        per_s: u64,
        feeds: u16,
        feed_pause: u64,
        feed_gap: u64,
    ) -> Arc<Self> {
        let client = Arc::new(Self {
            machine,
            router: Arc::clone(router),
            per_s: AtomicU64::new(per_s),
            feeds,
            feed_pause,
            feed_gap,
            tally: Mutex::default(),
        });
        let socket = UdpSocket::bind(run.at(machine, DATA)).unwrap_or_else(|_| quit(2));
        socket.set_read_timeout(Some(ms(1))).unwrap();
        let (own, run) = (Arc::clone(&client), Arc::clone(run));
        thread::spawn(move || own.serve(&run, &socket));
        client
    }

    fn transmit(&self, run: &Run, socket: &UdpSocket, flow: &ClientFlow, flags: u8, data: &[u8]) {
        let acknowledgement = if flags & SYN != 0 {
            flow.copies
        } else {
            flow.acknowledgement
        };
        let packet = Packet {
            source: run.at(self.machine, flow.port),
            destination: SocketAddrV4::new(ROUTE.0, ROUTE.1),
            sum: SUM,
            flags,
            sequence: flow.sequence,
            acknowledgement,
            data: data.to_vec(),
        };
        if let Some(balancer) = self.router.pick(flow.port) {
            let _ = socket.send_to(&packet.encode(), run.at(balancer, DATA));
        }
    }

    fn serve(&self, run: &Run, socket: &UdpSocket) {
        const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
        let mut flows: HashMap<u16, ClientFlow> = HashMap::new();
        let mut port = 20_000;
        let begin = run.now();
        let mut begun = 0;
        let mut feed_ports: Vec<u16> = Vec::new();
        let mut buffer = [0; 2_048];
        let open = |port: u16, pause, at: u64| ClientFlow {
            port,
            phase: Phase::Opening,
            pause,
            syn_at: at,
            copies: 0,
            sequence: u32::from(port) * 1_000,
            acknowledgement: 0,
            request_at: 0,
            next_at: at,
            interval: 200,
            server: String::new(),
            end: 0,
        };
        loop {
            let now = run.now();
            // New flows with one request.
            let due = (now - begin) * self.per_s.load(Ordering::Relaxed) / 1_000;
            while begun < due {
                begun += 1;
                port += 1;
                flows.insert(port, open(port, None, now));
            }
            feed_ports.retain(|port| flows.contains_key(port));
            let opened = match self.feed_gap {
                0 => usize::MAX,
                gap => ((now - begin) / gap) as usize,
            };
            while feed_ports.len() < usize::from(self.feeds).min(opened) {
                port += 1;
                feed_ports.push(port);
                flows.insert(port, open(port, Some(self.feed_pause), now));
            }
            for flow in flows.values_mut() {
                if now < flow.next_at {
                    continue;
                }
                match flow.phase {
                    Phase::Opening if now >= flow.syn_at + 1_400 => {
                        run.note(&format!("client {}: flow never opened", flow.port));
                        self.tally.lock().unwrap().unanswered += 1;
                        flow.phase = Phase::Done;
                    }
                    Phase::Opening => {
                        if flow.copies == 0 {
                            self.tally.lock().unwrap().syn_at.insert(flow.port, now);
                            run.note(&format!(
                                "client {}: SYN through machine {:?}",
                                flow.port,
                                self.router.pick(flow.port)
                            ));
                        }
                        self.transmit(run, socket, flow, SYN, b"");
                        flow.copies += 1;
                        flow.next_at =
                            flow.syn_at + [200, 600, 1_400, 1_400][flow.copies.min(4) as usize - 1];
                    }
                    Phase::Idle => {
                        flow.phase = Phase::Waiting;
                        flow.request_at = now;
                        flow.interval = 200;
                        flow.next_at = now + 200;
                        flow.end = flow.sequence + REQUEST.len() as u32;
                        self.transmit(run, socket, flow, ACK, REQUEST);
                    }
                    Phase::Waiting if now >= flow.request_at + 3_000 => {
                        run.note(&format!("client {}: no answer", flow.port));
                        self.tally.lock().unwrap().unanswered += 1;
                        flow.phase = Phase::Done;
                    }
                    Phase::Waiting => {
                        flow.interval = (flow.interval * 2).min(1_600);
                        flow.next_at = now + flow.interval;
                        self.transmit(run, socket, flow, ACK, REQUEST);
                    }
                    Phase::Closing | Phase::Done => flow.phase = Phase::Done,
                }
            }
            flows.retain(|_, flow| flow.phase != Phase::Done);
            let Ok((size, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(packet) = Packet::decode(&buffer[..size]) else {
                continue;
            };
            let Some(flow) = flows.get_mut(&packet.destination.port()) else {
                continue;
            };
            let now = run.now();
            if packet.flags & RST != 0 {
                let is_of_system = packet.sum == [0; 4];
                let was_open = flow.phase != Phase::Opening;
                run.note(&format!(
                    "client {}: reset, of the system: {is_of_system}, flow open: {was_open}, server {}",
                    flow.port, flow.server
                ));
                if is_of_system {
                    self.tally.lock().unwrap().resets.push(Reset {
                        at: now,
                        port: flow.port,
                        server: flow.server.clone(),
                        was_open,
                    });
                }
                flow.phase = Phase::Done;
            } else if packet.flags & SYN != 0 && flow.phase == Phase::Opening {
                flow.acknowledgement = packet.sequence.wrapping_add(1);
                flow.sequence += 1;
                flow.phase = Phase::Idle;
                flow.next_at = now;
            } else if flow.phase == Phase::Waiting
                && !packet.data.is_empty()
                && packet.acknowledgement == flow.end
            {
                flow.sequence = flow.end;
                flow.acknowledgement = packet.sequence.wrapping_add(packet.data.len() as u32);
                flow.server = String::from_utf8_lossy(&packet.data).into_owned();
                run.note(&format!("client {}: answer of {}", flow.port, flow.server));
                self.tally.lock().unwrap().answered += 1;
                match flow.pause {
                    Some(pause) => {
                        self.transmit(run, socket, flow, ACK, b"");
                        flow.phase = Phase::Idle;
                        flow.next_at = now + pause;
                    }
                    None => {
                        self.transmit(run, socket, flow, FIN | ACK, b"");
                        flow.phase = Phase::Closing;
                        flow.next_at = now + 300;
                    }
                }
            } else if flow.phase == Phase::Closing && packet.flags & FIN != 0 {
                flow.phase = Phase::Done;
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The program under test

/// Ids of the processes that run.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that run, and this one.
fn quit(code: i32) -> ! {
    for id in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    exit(code)
}

struct Process {
    child: Child,
    role: &'static str,
    machine: u8,
}

impl Process {
    fn start(run: &Run, role: &'static str, machine: u8, zone: &str, seeds: &[u8]) -> Self {
        let ip = run.ip(machine);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", run.at(*seed, CONTROL)))
            .collect();
        let class = if role == "balancer" {
            "frontend"
        } else {
            "side"
        };
        let settings = format!(
            r#"nodeName = "{class}-{zone}-{machine}"
role = "{role}"
machineClass = "{class}"
ip = "{ip}"
zone = "{zone}"
region = "r"
portRange = [{FRAMES}, {last}]
seeds = [{seeds}]
bootstrap = true
heartbeatMs = {HEARTBEAT_MS}
hash = "steady"
deployMode = "agent"
app = "{ip}:{APP}"
service = "booking"
[listen]
dataAddr = "{ip}:{DATA}"
outbound = "{ip}:{OUTBOUND}"
readyAddr = "{ip}:{READY}"
control = "{ip}:{CONTROL}"
[limits]
linkMbps = 1000.0
[bounds]
contactMs = {CONTACT_MS}
drainMs = {DRAIN_MS}
configApplyMs = 3000
evacuationMs = {EVACUATION_MS}
coldOverage = {COLD_OVERAGE}
coldSlack = {COLD_SLACK}
flowStabilityMs = 2000
flowMaxS = 60
[platform]
address = "{store}"
deployMode = "kv"
"#,
            last = FRAMES + 15,
            seeds = seeds.join(", "),
            store = run.store_at(machine),
        );
        let path = run.directory.join(format!("{role}-{machine}.toml"));
        fs::write(&path, settings).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(run.directory.join(format!("{role}-{machine}.log")))
            .unwrap();
        let child = Command::new(&run.program)
            .arg(role)
            .env_clear()
            .env("SASSAFRASMAST_BOOT", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("cannot start {}: {error}", run.program.display());
                quit(2)
            });
        CHILDREN.lock().unwrap().push(child.id());
        run.note(&format!(
            "process {role} starts on machine {machine} ({zone})"
        ));
        Self {
            child,
            role,
            machine,
        }
    }

    fn terminate(&self, run: &Run) {
        self.signal(run, "TERM");
    }

    fn signal(&self, run: &Run, signal: &str) {
        run.note(&format!(
            "SIG{signal} to {} on machine {}",
            self.role, self.machine
        ));
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
    }

    fn kill(&mut self, run: &Run) {
        run.note(&format!(
            "SIGKILL to {} on machine {}",
            self.role, self.machine
        ));
        self.end();
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        CHILDREN.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

fn config(version: u32, kind: &str, warmup_per_s: f64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"{}","prefix":"/{}/","kind":"{kind}","timeoutMs":3000,"targetLatencyMs":200,"priority":1,"service":"booking","maxAttempts":2}}],"services":[{{"name":"booking","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":{warmup_per_s:.1}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        ROUTE.0, ROUTE.1
    )
}

fn wait_for(run: &Run, what: &str, limit: u64, mut holds: impl FnMut() -> bool) {
    let until = run.now() + limit;
    while !holds() {
        if run.now() > until {
            run.note(&format!("could not run: {what}"));
            println!("could not run: {what}");
            quit(2);
        }
        thread::sleep(ms(20));
    }
}

/// The machines of a case with their processes and servers.
struct Fleet {
    store: Arc<Store>,
    processes: Vec<Process>,
    servers: Vec<Arc<Server>>,
    seeds: Vec<u8>,
}

impl Fleet {
    /// Starts balancers and agents with their servers, all given with their zones, and waits until
    /// they are ready.
    fn start(
        run: &Arc<Run>,
        config: &str,
        balancers: &[(u8, &'static str)],
        agents: &[(u8, &'static str)],
        work: Duration,
    ) -> Self {
        let store = Arc::new(Store::default());
        for (machine, _) in balancers.iter().chain(agents) {
            store.serve(run, *machine);
        }
        store.put("op/config", config);
        let seeds: Vec<u8> = balancers
            .iter()
            .take(3)
            .map(|(machine, _)| *machine)
            .collect();
        let mut fleet = Self {
            store,
            processes: Vec::new(),
            servers: Vec::new(),
            seeds,
        };
        for &(machine, zone) in balancers {
            let process = Process::start(run, "balancer", machine, zone, &fleet.seeds);
            fleet.processes.push(process);
        }
        for &(machine, zone) in agents {
            let process = Process::start(run, "agent", machine, zone, &fleet.seeds);
            fleet.processes.push(process);
            let id = format!("i-{machine}");
            let beats_at = 300 + 137 * u64::from(machine);
            let server = Server::start(run, &id, machine, zone, 0, work, beats_at);
            fleet.servers.push(server);
        }
        wait_for(run, "agents are listed", 8_000, || {
            fleet.store.count("sassafrasmast/agents/") == agents.len()
        });
        for &(machine, _) in balancers {
            wait_for(run, "balancers are ready", 8_000, || {
                call(run.at(machine, READY), "GET", "/ready", "") == 200
            });
        }
        fleet
    }

    fn server(&self, machine: u8) -> &Arc<Server> {
        self.servers
            .iter()
            .find(|server| server.machine == machine)
            .unwrap()
    }
}

fn finish(run: &Run, broken: usize, text: &str) -> i32 {
    let verdict = if broken > 0 { "BROKEN" } else { "held" };
    let line = format!("{verdict}: {text}");
    run.note(&line);
    println!("{line}");
    i32::from(broken > 0)
}

// ---------------------------------------------------------------------------------------------
// Cases

/// The store gives no response to the balancer and the agent of one zone for three seconds, in which
/// the operator takes that zone out.
fn evacuation(run: &Arc<Run>) -> i32 {
    const OUT: u8 = 3;
    let fleet = Fleet::start(
        run,
        &config(3, "non_idempotent", 0.0),
        &[(1, "zone-a"), (2, "zone-b")],
        &[(OUT, "zone-a"), (4, "zone-b"), (5, "zone-b"), (6, "zone-b")],
        ms(39),
    );
    let routers = [Router::start(run, &[1]), Router::start(run, &[2])];
    let client = Client::start(run, 21, &routers[0], 3, 0, 0, 0);
    let _other = Client::start(run, 22, &routers[1], 10, 0, 0, 0);
    let base = run.now() + 9_000;
    run.until(base);
    if run.trouble {
        fleet.store.leave_unanswered(&[1, OUT]);
        run.note("disruption begins: the store gives no response to machines 1 and 3");
    }
    run.until(base + 1_000);
    fleet.store.put("op/evacuate/zone-a", "{}");
    let acknowledged_at = run.now();
    run.note("the store confirms op/evacuate/zone-a");
    run.until(base + 3_000);
    fleet.store.leave_unanswered(&[]);
    let ended_at = run.now();
    run.note("disruption ends: the store responds to all machines");
    let bound = (acknowledged_at + EVACUATION_MS).max(ended_at + CONTACT_MS);
    run.until(base + 16_000);
    let syn_at = client.tally.lock().unwrap().syn_at.clone();
    let taken = fleet.server(OUT).taken.lock().unwrap().clone();
    let late = taken.iter().filter(|taken| {
        let sent_at = syn_at.get(&taken.key.0.port()).copied().unwrap_or(0);
        sent_at > bound
    });
    let late: Vec<u64> = late.map(|taken| taken.at).collect();
    let answered = client.tally.lock().unwrap().answered;
    finish(
        run,
        late.len(),
        &format!(
            "EVAC: {} requests sent later than {:.1} s after the confirmation, with all machines in touch, reached the server of the zone that is out, the last one {:.1} s after it; {answered} requests of that zone's clients answered in all",
            late.len(),
            (bound - acknowledged_at) as f64 / 1e3,
            late.last()
                .map_or(0.0, |at| (at - acknowledged_at) as f64 / 1e3),
        ),
    )
}

/// A zone is taken out and back; its server has become cold shortly before it is taken back.
fn failback(run: &Arc<Run>) -> i32 {
    const RETURNING: u8 = 3;
    const RATE: f64 = 12.0;
    let fleet = Fleet::start(
        run,
        &config(3, "non_idempotent", RATE),
        &[(1, "zone-a"), (2, "zone-b")],
        &[(RETURNING, "zone-a"), (4, "zone-b"), (5, "zone-b")],
        ms(20),
    );
    let routers = [Router::start(run, &[1]), Router::start(run, &[2])];
    let client = Client::start(run, 21, &routers[0], 50, 0, 0, 0);
    let _other = Client::start(run, 22, &routers[1], 10, 0, 0, 0);
    run.until(run.now() + 3_000);
    if run.trouble {
        fleet.store.put("op/evacuate/zone-a", "{}");
        run.note("the store confirms op/evacuate/zone-a");
    }
    run.until(run.now() + 8_000);
    // The zone is taken back in the middle of the server's heartbeat interval.
    let server = Arc::clone(fleet.server(RETURNING));
    let beats = server.standing.lock().unwrap().sequence;
    wait_for(run, "a heartbeat", 3_000, || {
        server.standing.lock().unwrap().sequence > beats
    });
    run.until(run.now() + 100);
    let cold_at = run.now();
    let cold_until = cold_at + 2_000;
    if run.trouble {
        server.standing.lock().unwrap().cold_until = Some(cold_until);
        run.note(&format!("server {} has become cold for 2 s", server.id));
        run.until(cold_at + 100);
        fleet.store.remove("op/evacuate/zone-a");
        run.note("the store confirms that zone-a is taken back");
    }
    run.until(cold_until + 3_000);
    let syn_at = client.tally.lock().unwrap().syn_at.clone();
    let taken = server.taken.lock().unwrap().clone();
    let while_cold: Vec<(u64, u64)> = taken
        .iter()
        .filter(|taken| run.trouble && (cold_at..cold_until).contains(&taken.at))
        .filter_map(|taken| Some((*syn_at.get(&taken.key.0.port())?, taken.at)))
        .collect();
    // Requests that were sent and arrived inside the same second.
    let in_a_second = |from: u64| {
        while_cold
            .iter()
            .filter(|(sent, arrived)| *sent >= from && *arrived < from + 1_000)
            .count()
    };
    let most = while_cold
        .iter()
        .map(|(sent, _)| in_a_second(*sent))
        .max()
        .unwrap_or(0);
    let bound = RATE * COLD_OVERAGE + COLD_SLACK;
    let answered = client.tally.lock().unwrap().answered;
    finish(
        run,
        usize::from(most as f64 > bound),
        &format!(
            "FAILBACK: the cold server got up to {most} requests in one second, {bound} are allowed ({RATE} x {COLD_OVERAGE} + {COLD_SLACK}); {answered} requests answered in all"
        ),
    )
}

/// A server crashes soon after its start, its machine's clock is stepped back by 2.4 s, and it
/// starts again: its new lifetime was born earlier than the one before. Later it drains.
fn born(run: &Arc<Run>) -> i32 {
    const MACHINE: u8 = 3;
    const STEP_MS: i64 = 2_400;
    let fleet = Fleet::start(
        run,
        &config(3, "non_idempotent", 0.0),
        &[(1, "zone-a")],
        &[(MACHINE, "zone-a"), (4, "zone-a"), (5, "zone-a")],
        ms(39),
    );
    let router = Router::start(run, &[1]);
    run.until(run.now() + 800);
    fleet.server(MACHINE).stop(run, "crashes");
    let offset = if run.trouble { -STEP_MS } else { 0 };
    if run.trouble {
        run.note("the time of day of machine 3 jumps back by 2.4 s");
    }
    run.until(run.now() + 700);
    let second = Server::start(
        run,
        "i-3b",
        MACHINE,
        "zone-a",
        offset,
        ms(39),
        run.now() + 600,
    );
    run.until(run.now() + 200);
    let client = Client::start(run, 21, &router, 10, 0, 0, 0);
    run.until(run.now() + 5_000);
    run.note("the time of day of machine 3 is right again");
    run.until(run.now() + CONTACT_MS + 1_000);
    second.standing.lock().unwrap().draining = true;
    wait_for(run, "the draining is acknowledged", 3_000, || {
        second.beat(run) == 200
    });
    let acknowledged_at = run.now();
    run.note("the agent has acknowledged that server i-3b is draining");
    run.until(acknowledged_at + DRAIN_MS + 7_000);
    second.stop(run, "ends");
    let syn_at = client.tally.lock().unwrap().syn_at.clone();
    let taken = second.taken.lock().unwrap().clone();
    let bound = acknowledged_at + DRAIN_MS;
    let late: Vec<u64> = taken
        .iter()
        .filter(|taken| {
            syn_at
                .get(&taken.key.0.port())
                .is_some_and(|sent| *sent > bound)
        })
        .map(|taken| taken.at)
        .collect();
    finish(
        run,
        late.len(),
        &format!(
            "DRAIN: {} requests sent later than {:.1} s after the acknowledgement reached the draining server, the last one {:.1} s after it; it had taken {} before",
            late.len(),
            DRAIN_MS as f64 / 1e3,
            late.last()
                .map_or(0.0, |at| (at - acknowledged_at) as f64 / 1e3),
            taken.len() - late.len(),
        ),
    )
}

/// An agent and a balancer are restarted as planned, so that the balancer starts while the agent is
/// down. Open flows of the agent's server then pass through the new balancer.
fn roll(run: &Arc<Run>) -> i32 {
    const RESTART_MS: u64 = 750;
    let mut fleet = Fleet::start(
        run,
        &config(3, "safe", 0.0),
        &[(1, "zone-a"), (2, "zone-a")],
        &[(3, "zone-a"), (4, "zone-a"), (5, "zone-a"), (6, "zone-a")],
        ms(20),
    );
    let router = Router::start(run, &[1, 2]);
    let client = Client::start(run, 21, &router, 0, 80, 300, 0);
    run.until(run.now() + 3_000);
    let seeds = fleet.seeds.clone();
    let index_of = |fleet: &Fleet, machine: u8| {
        fleet
            .processes
            .iter()
            .position(|process| process.machine == machine)
            .unwrap()
    };
    let rounds: &[(u8, u8)] = &[(1, 3), (2, 4), (1, 5), (2, 6)];
    for (round, &(balancer, agent)) in rounds.iter().enumerate() {
        // Both restarts take as long. The balancer's begins first and ends as the agent goes down.
        let begin = run.now();
        let balancer_index = index_of(&fleet, balancer);
        let agent_index = index_of(&fleet, agent);
        let agent_term_at = begin + RESTART_MS - 20;
        fleet.processes[balancer_index].terminate(run);
        run.until(agent_term_at);
        if run.trouble {
            fleet.processes[agent_index].terminate(run);
        }
        run.until(begin + GRACE_MS);
        fleet.processes[balancer_index].kill(run);
        run.until(agent_term_at + GRACE_MS);
        if run.trouble {
            fleet.processes[agent_index].kill(run);
        }
        run.until(begin + GRACE_MS + RESTART_MS);
        fleet.processes[balancer_index] =
            Process::start(run, "balancer", balancer, "zone-a", &seeds);
        run.until(agent_term_at + GRACE_MS + RESTART_MS);
        if run.trouble {
            fleet.processes[agent_index] = Process::start(run, "agent", agent, "zone-a", &seeds);
        }
        // The rounds begin at different times between the router's probes.
        run.until(run.now() + 3_000 + 125 * (round as u64 + 1));
    }
    let tally = client.tally.lock().unwrap();
    let broken: Vec<&Reset> = tally.resets.iter().filter(|reset| reset.was_open).collect();
    for reset in &broken {
        run.note(&format!(
            "open flow {} at server {} was reset at {:.3} s",
            reset.port,
            reset.server,
            reset.at as f64 / 1e3
        ));
    }
    finish(
        run,
        broken.len(),
        &format!(
            "FLOW: {} open flows were reset by the system while their servers live; {} requests answered, {} not",
            broken.len(),
            tally.answered,
            tally.unanswered
        ),
    )
}

/// A heartbeat of an earlier lifetime arrives late, as the first one at an agent that was restarted as
/// planned. The server's present lifetime holds open flows.
fn late_heartbeat(run: &Arc<Run>) -> i32 {
    const RESTART_MS: u64 = 750;
    const MACHINE: u8 = 3;
    let mut fleet = Fleet::start(
        run,
        &config(3, "safe", 0.0),
        &[(1, "zone-a")],
        &[(MACHINE, "zone-a"), (4, "zone-a"), (5, "zone-a")],
        ms(20),
    );
    let router = Router::start(run, &[1]);
    run.until(run.now() + 1_000);
    // The lifetime whose heartbeat is delayed crashes; another one starts at its address.
    let earlier = Arc::clone(fleet.server(MACHINE));
    earlier.stop(run, "crashes");
    run.until(run.now() + 1_500);
    let present = Server::start(run, "i-3b", MACHINE, "zone-a", 0, ms(20), run.now() + 600);
    run.until(run.now() + 500);
    let client = Client::start(run, 21, &router, 0, 40, 2_500, 0);
    run.until(run.now() + 5_000);
    let seeds = fleet.seeds.clone();
    let index = fleet
        .processes
        .iter()
        .position(|process| process.machine == MACHINE)
        .unwrap();
    fleet.processes[index].terminate(run);
    run.until(run.now() + GRACE_MS);
    fleet.processes[index].kill(run);
    run.until(run.now() + RESTART_MS);
    fleet.processes[index] = Process::start(run, "agent", MACHINE, "zone-a", &seeds);
    if run.trouble {
        wait_for(run, "the delayed heartbeat is delivered", 600, || {
            earlier.beat(run) == 200
        });
    }
    run.until(run.now() + 8_000);
    let tally = client.tally.lock().unwrap();
    let broken: Vec<&Reset> = tally.resets.iter().filter(|reset| reset.was_open).collect();
    finish(
        run,
        broken.len(),
        &format!(
            "FLOW: {} open flows at server {} were reset by the system while it lives, {} flows at other servers; {} requests answered, {} not",
            broken
                .iter()
                .filter(|reset| reset.server == present.id)
                .count(),
            present.id,
            broken
                .iter()
                .filter(|reset| reset.server != present.id)
                .count(),
            tally.answered,
            tally.unanswered
        ),
    )
}

/// A balancer stands still while clients open flows, so that it handles copies of SYNs after the flows
/// were opened through another one. Later an agent is killed that holds none of these flows.
fn late_copy(run: &Arc<Run>) -> i32 {
    const KILLED: u8 = 4;
    const FROZEN_MS: u64 = 4_000;
    const DARK_MS: u64 = 3_500;
    let agents = [3, 4, 5, 6].map(|machine| (machine, "zone-a"));
    let mut fleet = Fleet::start(
        run,
        &config(3, "safe", 0.0),
        &[(1, "zone-a"), (2, "zone-a")],
        &agents,
        ms(20),
    );
    let router = Router::start(run, &[1, 2]);
    // Usual traffic beside the feeds.
    let _other = Client::start(run, 22, &router, 0, 20, 300, 0);
    run.until(run.now() + 3_000);
    let begin = run.now();
    if run.trouble {
        fleet.processes[0].signal(run, "STOP");
    }
    run.until(begin + 200);
    let client = Client::start(run, 21, &router, 0, 300, 9_500, 5);
    run.until(begin + FROZEN_MS);
    if run.trouble {
        fleet.processes[0].signal(run, "CONT");
    }
    let killed_at = begin + FROZEN_MS + CONTACT_MS + 500;
    run.until(killed_at);
    let index = fleet
        .processes
        .iter()
        .position(|process| process.machine == KILLED)
        .unwrap();
    let seeds = fleet.seeds.clone();
    if run.trouble {
        fleet.processes[index].kill(run);
    }
    run.until(killed_at + DARK_MS);
    if run.trouble {
        fleet.processes[index] = Process::start(run, "agent", KILLED, "zone-a", &seeds);
    }
    run.until(killed_at + DARK_MS + 500);
    let tally = client.tally.lock().unwrap();
    let own = format!("i-{KILLED}");
    let broken: Vec<&Reset> = tally
        .resets
        .iter()
        .filter(|reset| reset.was_open && reset.server != own)
        .filter(|reset| reset.at > killed_at)
        .collect();
    finish(
        run,
        broken.len(),
        &format!(
            "FLOW: {} open flows at servers of other machines were reset by the system after the agent on machine {KILLED} was killed, {} at its own server; {} requests answered, {} not",
            broken.len(),
            tally
                .resets
                .iter()
                .filter(|reset| reset.was_open && reset.server == own)
                .count(),
            tally.answered,
            tally.unanswered
        ),
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = &arguments[..] else {
        eprintln!("usage: standin CASE PROGRAM RECORD");
        exit(2);
    };
    let id = std::process::id();
    // A loopback network of its own whose ports are free.
    let net = (0..50)
        .map(|attempt| {
            let number = id.wrapping_mul(7).wrapping_add(attempt * 977);
            [64 + (number / 251 % 128) as u8, 1 + (number % 251) as u8]
        })
        .find(|net| {
            let ip = Ipv4Addr::new(127, net[0], net[1], 1);
            let udp = [DATA, FRAMES].map(|port| UdpSocket::bind((ip, port)).is_ok());
            let tcp =
                [READY, CONTROL, STORE, METRICS].map(|port| TcpListener::bind((ip, port)).is_ok());
            udp.iter().chain(&tcp).all(|is_free| *is_free)
        });
    let Some(net) = net else {
        eprintln!("no free addresses");
        exit(2);
    };
    let directory = std::env::temp_dir().join(format!("review-{id}"));
    fs::create_dir_all(&directory).unwrap();
    let run = Arc::new(Run {
        started: Instant::now(),
        net,
        program: program.into(),
        directory: directory.clone(),
        file: Mutex::new(File::create(record).unwrap()),
        trouble: !std::env::var("TROUBLE").is_ok_and(|value| value == "0"),
    });
    run.note(&format!("case {case}, disruption: {}", run.trouble));
    let code = match case.as_str() {
        "evacuation" => evacuation(&run),
        "failback" => failback(&run),
        "born" => born(&run),
        "roll" => roll(&run),
        "late-copy" => late_copy(&run),
        "late-heartbeat" => late_heartbeat(&run),
        _ => 2,
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&directory);
    } else {
        println!("{}", directory.display());
    }
    exit(code);
}

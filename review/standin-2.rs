// Stand-ins for the review's scripts: the platform's store, servers, clients and the router. The
// program of each case includes this file.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU16, AtomicU32, AtomicU64, Ordering},
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

const SYN: u8 = 1;
const BOUNCED: u8 = 2;
const FIN: u8 = 4;
const ACK: u8 = 8;
const RST: u8 = 128;

const SERVICE: &str = "dispatch";
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A line of the record with the time since the scenario's start.
#[derive(Clone)]
struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}", text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    fn write(&self, directory: &str) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(format!("{directory}/record.txt"), text).unwrap();
    }
}

// ---------------------------------------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
enum Json {
    Null,
    Number(i64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    fn number(&self) -> i64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    fn parse(bytes: &[u8]) -> Json {
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> String {
    let mut text = Vec::new();
    *at += 1;
    while *at < bytes.len() && bytes[*at] != b'"' {
        if bytes[*at] == b'\\' {
            *at += 1;
        }
        text.push(bytes[*at]);
        *at += 1;
    }
    *at += 1;
    String::from_utf8_lossy(&text).into_owned()
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Json {
    skip_space(bytes, at);
    match bytes.get(*at) {
        Some(b'{') => {
            let mut fields = BTreeMap::new();
            *at += 1;
            loop {
                skip_space(bytes, at);
                match bytes.get(*at) {
                    Some(b'"') => {
                        let key = parse_text(bytes, at);
                        skip_space(bytes, at);
                        *at += 1;
                        fields.insert(key, parse_value(bytes, at));
                    }
                    Some(b',') => *at += 1,
                    _ => break,
                }
            }
            *at += 1;
            Json::Object(fields)
        }
        Some(b'[') => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip_space(bytes, at);
                match bytes.get(*at) {
                    Some(b']') | None => break,
                    Some(b',') => *at += 1,
                    _ => list.push(parse_value(bytes, at)),
                }
            }
            *at += 1;
            Json::List(list)
        }
        Some(b'"') => Json::Text(parse_text(bytes, at)),
        Some(_) => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n".contains(byte)) {
                *at += 1;
            }
            let word = String::from_utf8_lossy(&bytes[start..*at]).into_owned();
            word.parse().map_or(Json::Null, Json::Number)
        }
        None => Json::Null,
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(ALPHABET[(bits >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode_url(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' {
            decoded.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap());
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8(decoded).unwrap()
}

// ---------------------------------------------------------------------------------------------- HTTP

/// Reads one request: method, target and body; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
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
    Some((method, target, body))
}

/// Sends one call and returns the status, 0 without an answer within a second.
fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), ms(1_000))?;
        stream.set_read_timeout(Some(ms(1_000)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
    };
    exchange().unwrap_or(0)
}

// --------------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: Arc<str>,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct StoreState {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Revision, key and item of each change; `None` for a deletion.
    events: Vec<(i64, String, Option<Item>)>,
    leases: HashMap<i64, (Duration, Instant)>,
    /// Earlier content, for stale reads.
    copies: Vec<(Instant, i64, BTreeMap<String, Item>)>,
}

/// Age of a read that may be stale, "may be seconds old".
const STALE_BY: Duration = ms(3_000);

impl StoreState {
    /// The content that a read gets.
    fn content(&self, may_be_stale: bool) -> (i64, &BTreeMap<String, Item>) {
        let now = Instant::now();
        let mut copies = self.copies.iter().rev();
        match copies.find(|(at, ..)| *at + STALE_BY <= now) {
            Some((_, revision, items)) if may_be_stale => (*revision, items),
            _ => (self.revision, &self.items),
        }
    }

    fn copy(&mut self) {
        if self.copies.last().is_none_or(|(_, revision, _)| *revision != self.revision) {
            self.copies.push((Instant::now(), self.revision, self.items.clone()));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<i64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.items.remove(&key);
            self.events.push((self.revision, key, None));
        }
    }

    fn put(&mut self, key: &str, value: String, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.into(), revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#""key":"{key}","value":"{}","revision":{},"createRev":{},"lease":{}"#,
        item.value, item.revision, item.created, item.lease
    )
}

/// Stand-in of the platform's store. Each machine reaches it at a port of its own, so that it can
/// turn single machines away.
#[derive(Clone)]
struct Store {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Condvar>,
    /// Machines that get 503 for every call.
    refused: Arc<Mutex<Vec<Ipv4Addr>>>,
    /// Machines that get no answer to any call.
    silent: Arc<Mutex<Vec<Ipv4Addr>>>,
    /// Machines whose next answer to a watch is lost.
    losing: Arc<Mutex<Vec<Ipv4Addr>>>,
    /// When the store's link, which all answers share, is free again.
    link_free_at: Arc<Mutex<Instant>>,
    record: Record,
}

/// Capacity of the store's link: 1,000 Mbit/s.
const LINK_BYTES_PER_S: u64 = 125_000_000;

/// Bytes of an answer that are sent at a time, so that answers share the link.
const CHUNK_BYTES: usize = 64 * 1_024;

impl Store {
    fn new(record: &Record) -> Self {
        let store = Self {
            state: Arc::default(),
            changed: Arc::default(),
            refused: Arc::default(),
            silent: Arc::default(),
            losing: Arc::default(),
            link_free_at: Arc::new(Mutex::new(Instant::now())),
            record: record.clone(),
        };
        store.state.lock().unwrap().revision = 1;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ms(50));
                let mut state = expiring.state.lock().unwrap();
                state.expire();
                state.copy();
                drop(state);
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Serves the machine at `ip` and returns the address.
    fn address_for(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(ip, stream));
            }
        });
        address
    }

    /// Writes a document as the operator does.
    fn write(&self, key: &str, document: &str) {
        let text: String = document.chars().take(120).collect();
        let bytes = document.len();
        self.record.line(format!("the operator writes {key}, {bytes} bytes: {text}"));
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(document.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes a document as the operator does.
    fn erase(&self, key: &str) {
        self.record.line(format!("the operator removes {key}"));
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.events.push((revision, key.to_owned(), None));
        drop(state);
        self.changed.notify_all();
    }

    fn refuse(&self, ip: Ipv4Addr) {
        self.refused.lock().unwrap().push(ip);
        self.changed.notify_all();
    }

    /// Loses the next answer to a watch of this machine that brings changes.
    fn lose_next_watch_answer(&self, ip: Ipv4Addr) {
        self.losing.lock().unwrap().push(ip);
    }

    /// Whether an answer is lost.
    fn loses(&self, ip: Ipv4Addr, target: &str, reply: &str) -> bool {
        let mut losing = self.losing.lock().unwrap();
        let is_lost = losing.contains(&ip)
            && target.starts_with("/kv-watch")
            && !reply.starts_with(r#"{"events":[]"#);
        if is_lost {
            losing.retain(|other| *other != ip);
            self.record.line(format!("the store's answer to the watch of {ip} is lost"));
        }
        is_lost
    }

    fn stop_refusing(&self) {
        self.refused.lock().unwrap().clear();
        self.silent.lock().unwrap().clear();
    }

    /// Gives this machine no answer from now on, also to calls that wait.
    fn silence(&self, ip: Ipv4Addr) {
        self.silent.lock().unwrap().push(ip);
    }

    fn is_refused(&self, ip: Ipv4Addr) -> bool {
        self.refused.lock().unwrap().contains(&ip)
    }

    fn serve(&self, ip: Ipv4Addr, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some((method, target, body)) = read_request(&mut reader) {
            thread::sleep(ms(4));
            let is_silent = || self.silent.lock().unwrap().contains(&ip);
            let was_silent = is_silent();
            let (status, reply) = if was_silent {
                // A machine that is turned away without an answer: nothing is done.
                (0, String::new())
            } else if self.is_refused(ip) {
                (503, "{}".to_owned())
            } else {
                self.answer(ip, &method, &target, &Json::parse(&body))
            };
            if was_silent || is_silent() || self.loses(ip, &target, &reply) {
                // The connection returns nothing further.
                while reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                    let length = reader.buffer().len();
                    reader.consume(length);
                }
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                reply.len()
            );
            for chunk in (head + &reply).as_bytes().chunks(CHUNK_BYTES) {
                self.use_link(chunk.len());
                if writer.write_all(chunk).is_err() {
                    return;
                }
            }
        }
    }

    /// Waits until the link has carried this many bytes.
    fn use_link(&self, bytes: usize) {
        let carried_at = {
            let mut free_at = self.link_free_at.lock().unwrap();
            let time = Duration::from_nanos(bytes as u64 * 1_000_000_000 / LINK_BYTES_PER_S);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        // A sleep may take a little longer, so that the time is not waited for in full.
        let wait = carried_at.saturating_duration_since(Instant::now());
        if wait > ms(1) {
            thread::sleep(wait - ms(1));
        }
    }

    fn answer(&self, ip: Ipv4Addr, method: &str, target: &str, body: &Json) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), decode_url(value)))
            .collect();
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/kv-watch" => return self.watch(ip, &parameter("prefix"), &query),
            "/kv-key" => {
                let key = parameter("key");
                let state = self.state.lock().unwrap();
                let revision = state.revision;
                return match state.items.get(&key) {
                    Some(item) => {
                        (200, format!(r#"{{{},"storeRevision":{revision}}}"#, item_json(&key, item)))
                    }
                    None => (404, format!(r#"{{"storeRevision":{revision}}}"#)),
                };
            }
            "/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let state = self.state.lock().unwrap();
                let (revision, items) = state.content(query.contains_key("allowStale"));
                let matching = items.iter();
                let matching = matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = matching
                    .map(|(key, item)| format!("{{{}}}", item_json(key, item)))
                    .collect();
                let items = items.join(",");
                let reply =
                    format!(r#"{{"items":[{items}],"hasMore":false,"storeRevision":{revision}}}"#);
                return (200, reply);
            }
            _ => {}
        }
        let mut state = self.state.lock().unwrap();
        state.expire();
        let reply = match path {
            "/kv-txn" => {
                let holds = |row: &Json| {
                    let item = state.items.get(row.get("key").text());
                    item.map_or(0, |item| item.revision) == row.get("revision").number()
                };
                if !body.get("expectedRev").list().iter().all(holds) {
                    (412, r#"{"items":[]}"#.to_owned())
                } else if body.get("puts").list().iter().any(|put| {
                    let lease = put.get("lease").number();
                    lease != 0 && !state.leases.contains_key(&lease)
                }) {
                    (404, "{}".to_owned())
                } else {
                    state.revision += 1;
                    for put in body.get("puts").list() {
                        let value = put.get("value").text().to_owned();
                        state.put(put.get("key").text(), value, put.get("lease").number());
                    }
                    for key in body.get("remove").list() {
                        let revision = state.revision;
                        state.items.remove(key.text());
                        state.events.push((revision, key.text().to_owned(), None));
                    }
                    (200, format!(r#"{{"revision":{}}}"#, state.revision))
                }
            }
            "/kv-lease" => {
                let ttl = body.get("ttlMs").number() as u64;
                state.revision += 1;
                let lease = state.revision + 70_000;
                state.leases.insert(lease, (ms(ttl), Instant::now() + ms(ttl)));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            _ => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse::<i64>().ok());
                let lease = lease.unwrap_or_default();
                match state.leases.get_mut(&lease) {
                    None => (404, "{}".to_owned()),
                    Some(_) if method == "DELETE" => {
                        state.end_lease(lease);
                        (200, "{}".to_owned())
                    }
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                }
            }
        };
        drop(state);
        self.changed.notify_all();
        reply
    }

    fn watch(&self, ip: Ipv4Addr, prefix: &str, query: &HashMap<String, String>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<i64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + ms(number("waitMs").unwrap_or(0) as u64);
        let mut state = self.state.lock().unwrap();
        loop {
            if self.is_refused(ip) {
                return (503, "{}".to_owned());
            }
            let news = state.events.iter();
            let news: Vec<String> = news
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", item_json(key, item)),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            if !news.is_empty() || Instant::now() >= until {
                let (news, revision) = (news.join(","), state.revision);
                return (200, format!(r#"{{"events":[{news}],"storeRevision":{revision}}}"#));
            }
            state = self.changed.wait_timeout(state, ms(50)).unwrap().0;
        }
    }
}

// ------------------------------------------------------------------------------------------- packets

#[derive(Debug, Clone, Copy)]
struct Head {
    source: SocketAddrV4,
    destination: SocketAddrV4,
    flags: u8,
    sequence: u32,
    acknowledgement: u32,
}

fn decode(packet: &[u8]) -> Option<(Head, &[u8])> {
    if packet.len() < 36 {
        return None;
    }
    let number = |at: usize| u32::from_be_bytes(packet[at..at + 4].try_into().unwrap());
    let port = |at: usize| u16::from_be_bytes(packet[at..at + 2].try_into().unwrap());
    let head = Head {
        source: SocketAddrV4::new(Ipv4Addr::from(number(4)), port(12)),
        destination: SocketAddrV4::new(Ipv4Addr::from(number(8)), port(14)),
        flags: packet[22],
        sequence: number(28),
        acknowledgement: number(32),
    };
    Some((head, &packet[36..]))
}

fn encode(head: &Head, data: &[u8]) -> Vec<u8> {
    let mut packet = vec![0; 36];
    packet[4..8].copy_from_slice(&head.source.ip().octets());
    packet[8..12].copy_from_slice(&head.destination.ip().octets());
    packet[12..14].copy_from_slice(&head.source.port().to_be_bytes());
    packet[14..16].copy_from_slice(&head.destination.port().to_be_bytes());
    packet[16..18].copy_from_slice(&(data.len() as u16).to_be_bytes());
    // The ends' own sum, which nobody between them reads.
    packet[18..22].copy_from_slice(&0x5a17_c3d5_u32.to_be_bytes());
    packet[22] = head.flags;
    packet[28..32].copy_from_slice(&head.sequence.to_be_bytes());
    packet[32..36].copy_from_slice(&head.acknowledgement.to_be_bytes());
    packet.extend_from_slice(data);
    packet
}

// ------------------------------------------------------------------------------------------- servers

static NEXT_SEQUENCE: AtomicU32 = AtomicU32::new(0x1000_0000);

/// A server's end of a flow.
struct ServerFlow {
    own: u32,
    expected: u32,
    is_open: bool,
    last_answer: Vec<u8>,
}

/// What a server tells of itself.
struct Announcer {
    id: String,
    born: u64,
    sequence: AtomicU64,
    cold_until: Instant,
}

impl Announcer {
    fn body(&self, vm: Vm, state: &str) -> String {
        let Vm { ip, zone, service } = vm;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let cold = self.cold_until.saturating_duration_since(Instant::now()).as_millis();
        format!(
            r#"{{"service":"{service}","address":"{ip}:{APP}","zone":"{zone}","version":"v1","slots":5,"state":"{state}","warmupLeftMs":{cold},"sequence":{sequence},"born":{}}}"#,
            self.born
        )
    }
}

/// One lifetime of a server.
struct Server {
    vm: Vm,
    announcer: Arc<Announcer>,
    has_crashed: Arc<AtomicBool>,
    /// While set, heartbeats are held on their way; they arrive once it is cleared.
    holds_heartbeats: Arc<AtomicBool>,
    /// Heartbeats that are held on their way, as sent.
    held: Arc<Mutex<Vec<(String, String)>>>,
    /// Flows whose end of the handshake the server has, with the time of that.
    opened: Arc<Mutex<Vec<(SocketAddrV4, Instant)>>>,
    /// Whether the server says that it is draining.
    leaving: Arc<AtomicBool>,
    /// When that was first acknowledged.
    drained_at: Arc<Mutex<Option<Instant>>>,
    /// When SYNs arrived that the server accepted.
    accepted: Arc<Mutex<Vec<(SocketAddrV4, Instant)>>>,
}

impl Server {
    fn start(vm: Vm, id: &str, cold_for: Duration, record: &Record) -> Self {
        let announcer = Arc::new(Announcer {
            id: id.to_owned(),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            cold_until: Instant::now() + cold_for,
        });
        let server = Self {
            vm,
            announcer,
            has_crashed: Arc::default(),
            holds_heartbeats: Arc::default(),
            held: Arc::default(),
            leaving: Arc::default(),
            drained_at: Arc::default(),
            opened: Arc::default(),
            accepted: Arc::default(),
        };
        record.line(format!("server {id} starts on {}", vm.ip));
        let socket = UdpSocket::bind(vm.at(APP)).unwrap();
        socket.set_read_timeout(Some(ms(20))).unwrap();
        let (has_crashed, opened, accepted) = (
            Arc::clone(&server.has_crashed),
            Arc::clone(&server.opened),
            Arc::clone(&server.accepted),
        );
        let (name, log) = (id.to_owned(), record.clone());
        thread::spawn(move || serve_flows(&socket, vm, &name, &log, &has_crashed, &opened, &accepted));
        server.send_heartbeats(record);
        server
    }

    fn send_heartbeats(&self, record: &Record) {
        let (vm, announcer, record) = (self.vm, Arc::clone(&self.announcer), record.clone());
        let (has_crashed, holds) = (Arc::clone(&self.has_crashed), Arc::clone(&self.holds_heartbeats));
        let held = Arc::clone(&self.held);
        let (leaving, drained_at) = (Arc::clone(&self.leaving), Arc::clone(&self.drained_at));
        thread::spawn(move || {
            while !has_crashed.load(Ordering::Relaxed) {
                let sent_at = Instant::now();
                let path = format!("/instances/{}/heartbeat", announcer.id);
                let leaves = leaving.load(Ordering::Relaxed);
                let body = announcer.body(vm, if leaves { "draining" } else { "ready" });
                let sequence = announcer.sequence.load(Ordering::Relaxed);
                if holds.load(Ordering::Relaxed) {
                    record.line(format!("heartbeat {sequence} of {} is held on its way", announcer.id));
                    held.lock().unwrap().push((path, body));
                } else {
                    let status = call(vm.at(CONTROL), "POST", &path, &body);
                    if leaves && status == 200 {
                        drained_at.lock().unwrap().get_or_insert(Instant::now());
                    }
                    record.line(format!("heartbeat {sequence} of {}: {status}", announcer.id));
                }
                thread::sleep(HEARTBEAT.saturating_sub(sent_at.elapsed()));
            }
        });
    }

    /// Delivers the heartbeats that were held, in the order in which they were sent.
    fn deliver_held(&self, gap: Duration, record: &Record) {
        for (path, body) in std::mem::take(&mut *self.held.lock().unwrap()) {
            let status = call(self.vm.at(CONTROL), "POST", &path, &body);
            record.line(format!("held heartbeat of {} arrives: {status}", self.announcer.id));
            thread::sleep(gap);
        }
    }

    fn crash(&self, record: &Record) {
        self.has_crashed.store(true, Ordering::Relaxed);
        record.line(format!("server {} crashes", self.announcer.id));
        thread::sleep(ms(60));
    }

    fn has_opened(&self, client: SocketAddrV4) -> bool {
        self.opened.lock().unwrap().iter().any(|(address, _)| *address == client)
    }
}

fn serve_flows(
    socket: &UdpSocket,
    vm: Vm,
    id: &str,
    record: &Record,
    has_crashed: &AtomicBool,
    opened: &Mutex<Vec<(SocketAddrV4, Instant)>>,
    accepted: &Mutex<Vec<(SocketAddrV4, Instant)>>,
) {
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), ServerFlow> = HashMap::new();
    let mut buffer = [0; 2_048];
    while !has_crashed.load(Ordering::Relaxed) {
        let Ok((size, _)) = socket.recv_from(&mut buffer) else { continue };
        let Some((head, data)) = decode(&buffer[..size]) else { continue };
        let key = (head.source, head.destination);
        let reply = |flags, sequence, acknowledgement, data: &[u8]| {
            let head = Head {
                source: key.1,
                destination: key.0,
                flags,
                sequence,
                acknowledgement,
            };
            encode(&head, data)
        };
        let packet = match flows.get_mut(&key) {
            None if head.flags & SYN != 0 => {
                let own = NEXT_SEQUENCE.fetch_add(0x10_0000, Ordering::Relaxed);
                accepted.lock().unwrap().push((key.0, Instant::now()));
                let expected = head.sequence.wrapping_add(1);
                let flow = ServerFlow { own, expected, is_open: false, last_answer: Vec::new() };
                flows.insert(key, flow);
                reply(SYN | ACK, own, expected, &[])
            }
            Some(flow) if head.flags & SYN != 0 => {
                reply(SYN | ACK, flow.own, flow.expected, &[])
            }
            Some(flow) if flow.is_open || head.acknowledgement == flow.own.wrapping_add(1) => {
                if !flow.is_open {
                    flow.is_open = true;
                    flow.own = flow.own.wrapping_add(1);
                    opened.lock().unwrap().push((key.0, Instant::now()));
                }
                if data.is_empty() {
                    continue;
                }
                if head.sequence == flow.expected {
                    record.line(format!("{id} runs a request of {}", key.0));
                    flow.expected = flow.expected.wrapping_add(data.len() as u32);
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nServer: {id}\r\n\r\nok");
                    flow.last_answer = reply(ACK, flow.own, flow.expected, answer.as_bytes());
                    flow.own = flow.own.wrapping_add(answer.len() as u32);
                }
                flow.last_answer.clone()
            }
            // The flow isn't held here.
            _ => {
                let mut packet = buffer[..size].to_vec();
                packet[22] |= BOUNCED;
                record.line(format!("{id} returns a packet of {}", key.0));
                packet
            }
        };
        let _ = socket.send_to(&packet, vm.at(OUTBOUND));
    }
}

// ------------------------------------------------------------------------------------------ machines

/// A machine with its own loopback address.
#[derive(Debug, Clone, Copy)]
struct Vm {
    ip: Ipv4Addr,
    zone: &'static str,
    service: &'static str,
}

impl Vm {
    /// Machine `number` of this run, beside the server of `SERVICE` if it is a side machine.
    fn new(number: u8, zone: &'static str) -> Self {
        Self { ip: address(number), zone, service: SERVICE }
    }

    fn at(self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }
}

/// The loopback address of machine `number`. Runs at the same time have different ones.
fn address(number: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 128, low, number)
}

/// A process of the project on a machine.
struct Process {
    child: Child,
}

impl Process {
    fn start(role: &str, vm: Vm, store: SocketAddrV4, seeds: &[Vm], directory: &str) -> Self {
        let Vm { ip, zone, service } = vm;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{}\"", seed.at(CONTROL))).collect();
        let (class, serves, beside) = match role {
            "balancer" => ("frontend", r#""frontend","control_plane""#, String::new()),
            _ => ("side", r#""side""#, format!("app = \"{ip}:{APP}\"\nservice = \"{service}\"\n")),
        };
        let outbound = match role {
            "balancer" => String::new(),
            _ => format!("outbound = \"{ip}:{OUTBOUND}\"\n"),
        };
        let settings = format!(
            r#"nodeName = "{class}-{ip}"
role = "{role}"
machineClass = "{class}"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "mvd"
portRange = [{FRAMES},{}]
seeds = [{}]
bootstrap = true
discovery = "local"
entry = "announce"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
hash = "steady"
deployMode = "agent"
{beside}
[zones]
mvd-cerro = "mvd"
mvd-carrasco = "mvd"
mvd-lapaz = "mvd"
[listen]
dataAddr = "{ip}:{DATA}"
readyAddr = "{ip}:{READY}"
control = "{ip}:{CONTROL}"
{outbound}
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 3000
graceS = 6
configApplyMs = 3000
rollbackSlackMs = 250
maxStretchMs = 12000
coldOverage = 1.5
coldSlack = 5
evacuationMs = 5000
recoveryS = 12
flowStabilityMs = 2000
flowMaxS = 60
[platform]
address = "{store}"
deployMode = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
            FRAMES + 15,
            seeds.join(",")
        );
        let path = format!("{directory}/{role}-{ip}.toml");
        fs::write(&path, settings).unwrap();
        let log = fs::File::create(format!("{directory}/{role}-{ip}.log")).unwrap();
        let child = Command::new("target/release/sassafrasmast-forward")
            .arg(role)
            .env("SASSAFRASMAST_BOOT", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("cannot start the program: {error}")));
        Self { child }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

fn is_ready(vm: Vm) -> bool {
    call(vm.at(READY), "GET", "/ready", "") == 200
}

fn wait_until(what: &str, limit: Duration, holds: impl Fn() -> bool) {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() > until {
            panic!("not reached: {what}");
        }
        thread::sleep(ms(20));
    }
}

// ------------------------------------------------------------------------------------------- clients

/// The platform's router of one zone: which daemon the packets of a client go to.
#[derive(Clone)]
struct Router {
    frontends: Vec<Vm>,
    in_rotation: Arc<Mutex<Vec<bool>>>,
}

impl Router {
    /// Checks each daemon twice a second. After two misses it is out of rotation until it answers 200.
    fn start(frontends: Vec<Vm>, record: &Record) -> Self {
        let router = Self {
            in_rotation: Arc::new(Mutex::new(vec![false; frontends.len()])),
            frontends,
        };
        for (index, &vm) in router.frontends.iter().enumerate() {
            let (rotation, record) = (Arc::clone(&router.in_rotation), record.clone());
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    misses = if is_ready(vm) { 0 } else { misses + 1 };
                    let is_in = match misses {
                        0 => true,
                        1 => rotation.lock().unwrap()[index],
                        _ => false,
                    };
                    let was_in = std::mem::replace(&mut rotation.lock().unwrap()[index], is_in);
                    if was_in != is_in {
                        let change = if is_in { "into" } else { "out of" };
                        record.line(format!("frontend {} comes {change} rotation", vm.ip));
                    }
                    thread::sleep(ms(500));
                }
            });
        }
        router
    }

    /// The daemon that the packets of a flow go to: the one in rotation that ranks first for it.
    fn frontend(&self, client: SocketAddrV4) -> Option<SocketAddrV4> {
        let rotation = self.in_rotation.lock().unwrap();
        let all_out = rotation.iter().all(|is_in| !is_in);
        let candidates = self.frontends.iter().zip(rotation.iter());
        let rank = |vm: &Vm| {
            let mut hash = u64::from(u32::from(vm.ip)) ^ 0x9e37_79b9_7f4a_7c15;
            for part in [u64::from(u32::from(*client.ip())), u64::from(client.port())] {
                hash = (hash ^ part).wrapping_mul(0xff51_afd7_ed55_8ccd);
                hash ^= hash >> 33;
            }
            hash
        };
        let vm = candidates
            .filter(|(_, is_in)| **is_in || all_out)
            .map(|(vm, _)| *vm)
            .max_by_key(rank)?;
        Some(vm.at(DATA))
    }
}

/// What became of a client's flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The client closed it or still uses it.
    Kept,
    /// No SYN-ACK arrived.
    NeverOpen,
    /// A reset arrived before the flow was open.
    Refused,
    /// A reset arrived on the open flow.
    Reset(Instant),
    /// A request was not answered within its time limit.
    TimedOut,
}

/// One flow of a client: `requests` requests with `pause` between them.
struct Flow {
    address: SocketAddrV4,
    sent_at: Instant,
    opened_at: Option<Instant>,
    end: End,
    answers: usize,
}

/// A client machine, which receives all packets of its flows at one socket.
#[derive(Clone)]
struct Client {
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    inboxes: Arc<Mutex<HashMap<u16, std::sync::mpsc::Sender<Vec<u8>>>>>,
    next_port: Arc<AtomicU16>,
    router: Router,
    /// The address that its flows go to.
    route: SocketAddrV4,
    record: Record,
}

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 198, 0, 1), 8443);

impl Client {
    fn start(ip: Ipv4Addr, router: &Router, record: &Record) -> Self {
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, DATA)).unwrap();
        let client = Self {
            ip,
            socket: Arc::new(socket),
            inboxes: Arc::default(),
            next_port: Arc::new(AtomicU16::new(20_000)),
            router: router.clone(),
            route: ROUTE,
            record: record.clone(),
        };
        let receiving = client.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok((size, _)) = receiving.socket.recv_from(&mut buffer) {
                if let Some((head, _)) = decode(&buffer[..size]) {
                    let inboxes = receiving.inboxes.lock().unwrap();
                    if let Some(inbox) = inboxes.get(&head.destination.port()) {
                        let _ = inbox.send(buffer[..size].to_vec());
                    }
                }
            }
        });
        client
    }

    /// Plays one flow to its end.
    fn play(&self, requests: usize, pause: Duration, limit: Duration) -> Flow {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddrV4::new(self.ip, port);
        let (sender, inbox) = std::sync::mpsc::channel();
        self.inboxes.lock().unwrap().insert(port, sender);
        let flow = self.exchange(address, &inbox, requests, pause, limit);
        self.inboxes.lock().unwrap().remove(&port);
        flow
    }

    fn send(&self, address: SocketAddrV4, flags: u8, sequence: u32, acknowledgement: u32, data: &[u8]) {
        let destination = self.route;
        let head = Head { source: address, destination, flags, sequence, acknowledgement };
        if let Some(to) = self.router.frontend(address) {
            let _ = self.socket.send_to(&encode(&head, data), to);
        }
    }

    fn exchange(
        &self,
        address: SocketAddrV4,
        inbox: &std::sync::mpsc::Receiver<Vec<u8>>,
        requests: usize,
        pause: Duration,
        limit: Duration,
    ) -> Flow {
        let mut flow = Flow { address, sent_at: Instant::now(), opened_at: None, end: End::Kept, answers: 0 };
        let isn = NEXT_SEQUENCE.fetch_add(0x10_0000, Ordering::Relaxed);
        self.record.line(format!("client {address} opens a flow"));
        let began = Instant::now();
        let mut copies = [0, 200, 600].into_iter().enumerate().peekable();
        let (mut next, mut expected) = (isn.wrapping_add(1), 0);
        // Opens the flow.
        while flow.opened_at.is_none() {
            if let Some(&(copy, at)) = copies.peek()
                && began.elapsed() >= ms(at)
            {
                copies.next();
                self.send(address, SYN, isn, copy as u32, &[]);
            }
            if began.elapsed() >= ms(1_400) {
                flow.end = End::NeverOpen;
                return flow;
            }
            let Ok(packet) = inbox.recv_timeout(ms(10)) else { continue };
            let Some((head, _)) = decode(&packet) else { continue };
            if head.flags & RST != 0 {
                flow.end = End::Refused;
                return flow;
            }
            if head.flags & (SYN | ACK) == SYN | ACK {
                expected = head.sequence.wrapping_add(1);
                self.send(address, ACK, next, expected, &[]);
                flow.opened_at = Some(Instant::now());
            }
        }
        for number in 0..requests {
            self.record.line(format!("client {address} sends request {number}"));
            let data = format!("GET /{number} HTTP/1.1\r\nHost: x\r\nSassafrasmast-Request-Id: {address}-{number}\r\n\r\n");
            let sent = Instant::now();
            let mut resend_at = Duration::ZERO;
            let mut interval = ms(200);
            let mut is_answered = false;
            let mut pause_until = None;
            loop {
                if !is_answered && sent.elapsed() >= resend_at {
                    self.send(address, ACK, next, expected, data.as_bytes());
                    resend_at += interval;
                    interval = (interval * 2).min(ms(1_600));
                }
                if !is_answered && sent.elapsed() >= limit {
                    flow.end = End::TimedOut;
                    return flow;
                }
                if pause_until.is_some_and(|until| Instant::now() >= until) {
                    break;
                }
                let Ok(packet) = inbox.recv_timeout(ms(10)) else { continue };
                let Some((head, body)) = decode(&packet) else { continue };
                if head.flags & RST != 0 {
                    let distance = head.sequence.abs_diff(expected);
                    self.record.line(format!(
                        "client {address}: reset from {} on the open flow, after {} answers, {distance} from its last ack",
                        head.source, flow.answers
                    ));
                    flow.end = End::Reset(Instant::now());
                    return flow;
                }
                if !body.is_empty() && head.sequence == expected && !is_answered {
                    expected = expected.wrapping_add(body.len() as u32);
                    next = next.wrapping_add(data.len() as u32);
                    self.send(address, ACK, next, expected, &[]);
                    flow.answers += 1;
                    self.record.line(format!("client {address} gets the answer to request {number}"));
                    is_answered = true;
                    pause_until = Some(Instant::now() + pause);
                }
            }
        }
        self.send(address, FIN | ACK, next, expected, &[]);
        flow
    }
}

/// The desired state with one route of this kind to the service.
fn configuration(kind: &str, limit_ms: u64, cold: &str) -> String {
    with_services(kind, limit_ms, cold, "")
}

/// As [`configuration`], with further services.
fn with_services(kind: &str, limit_ms: u64, cold: &str, further: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"127.198.0.1","prefix":"/8443/","kind":"{kind}","timeoutMs":{limit_ms},"targetLatencyMs":150,"priority":2,"service":"{SERVICE}","maxAttempts":2}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,{cold}}}{further}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}


/// As [`with_services`], of this version and with further routes that see no traffic.
fn with_routes(version: u64, limit_ms: u64, cold: &str, further: &str, routes: usize) -> String {
    let document = with_services("safe", limit_ms, cold, further);
    let route = |number: usize| {
        format!(
            r#",{{"name":"r-{number:06}x","host":"127.198.{}.{}","prefix":"/8443/","kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":200,"priority":2,"service":"{SERVICE}","maxAttempts":2}}"#,
            1 + number / 250,
            number % 250
        )
    };
    let more: String = (0..routes).map(route).collect();
    document
        .replacen(r#""version":7"#, &format!(r#""version":{version}"#), 1)
        .replacen(r#"}],"services""#, &format!(r#"}}{more}],"services""#), 1)
}

/// Whether the script plays the disruption.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A directory for settings and logs that is removed at the end.
struct Scratch(String);

impl Scratch {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("sassafrasmast-case-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path.to_string_lossy().into_owned())
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = match std::env::var("KEEP") {
            Ok(path) => fs::rename(&self.0, path),
            Err(_) => fs::remove_dir_all(&self.0),
        };
    }
}

/// Plays a scenario in a thread, so that a panic of it means that the case could not run, and writes the
/// record into the directory of the first argument. `play` returns whether the rule held.
fn run(play: fn(&Record) -> bool) -> ! {
    let directory = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no directory is given"));
    let record = Record::new();
    let playing = record.clone();
    let held = thread::spawn(move || play(&playing)).join();
    if let Ok(held) = held {
        record.line(if held { "the rule held" } else { "the rule was broken" });
    }
    record.write(&directory);
    std::process::exit(match held {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    })
}

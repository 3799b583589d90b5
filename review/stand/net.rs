//! Small HTTP/1.1 server and client parts, a JSON reader, Base64 and free ports, with the standard
//! library only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A message: a request or, at a client, a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?;
        Some(unescape(pair.1))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces. A response without a length ends with its connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = message.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if to_end {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// A handler of requests: it writes the response itself, and returns whether the connection goes on.
pub type Handler = Arc<dyn Fn(Message, &mut TcpStream) -> bool + Send + Sync>;

/// Ends what [`serve`] serves: closes the listener and all its connections.
#[derive(Clone, Default)]
pub struct End(Arc<Mutex<Ending>>);

#[derive(Default)]
struct Ending {
    is_due: bool,
    is_closed: bool,
    streams: Vec<TcpStream>,
}

impl End {
    pub fn end(&self, address: SocketAddr) {
        self.0.lock().unwrap().is_due = true;
        // Wakes the listener, which then closes; a crash closes it with the connections.
        let _ = TcpStream::connect(address);
        while !self.0.lock().unwrap().is_closed {
            std::thread::sleep(std::time::Duration::from_micros(200));
        }
        for stream in std::mem::take(&mut self.0.lock().unwrap().streams) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves connections of `listener`, each in a thread of its own.
pub fn serve(listener: TcpListener, handler: Handler) -> End {
    let end = End::default();
    let ending = end.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let mut state = ending.0.lock().unwrap();
            if state.is_due {
                break;
            }
            state.streams.extend(stream.try_clone());
            drop(state);
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, handler);
            });
        }
        drop(listener);
        ending.0.lock().unwrap().is_closed = true;
    });
    end
}

fn serve_connection(mut stream: TcpStream, handler: Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(mut request) = read_head(&mut reader)? {
        read_body(&mut reader, &mut request, false)?;
        if !handler(request, &mut stream) {
            break;
        }
    }
    Ok(())
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Returns a listener on a free port.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Blocks of ports, of which a case uses one, and the ports of a block.
const PORT_BLOCKS: u32 = 120;
const PORTS_IN_BLOCK: u32 = 150;

/// Returns an address on which nothing listens.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        // Below the range from which the system takes the ports of connections. Cases that run at the same
        // time, whose process ids are near each other, have blocks of ports of their own.
        let block = std::process::id() % PORT_BLOCKS * PORTS_IN_BLOCK;
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_IN_BLOCK;
        let port = 12_000 + (block + number) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Json {
        let mut at = 0;
        value(text, &mut at).unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = value(text, at)? else { return None };
                        skip(text, at);
                        *at += 1;
                        fields.insert(name, value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *text.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        out.push(*text.get(*at + 1)?);
                        *at += 2;
                    }
                    byte => {
                        out.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool)
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool)
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&text[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

/// Encodes standard Base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let group = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// Decodes standard Base64.
pub fn decode(text: &str) -> Vec<u8> {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => u32::from(byte - b'A'),
        b'a'..=b'z' => u32::from(byte - b'a') + 26,
        b'0'..=b'9' => u32::from(byte - b'0') + 52,
        b'+' => 62,
        _ => 63,
    };
    let (mut bits, mut count, mut out) = (0_u32, 0, Vec::new());
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        bits = bits << 6 | digit(byte);
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 255) as u8);
        }
    }
    out
}

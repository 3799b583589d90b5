//! Just enough HTTP/1.1 for stand-ins and clients, one thread a connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| decoded(value));
        values.next().unwrap_or_default()
    }
}

fn decoded(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8(out).unwrap_or_default()
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else {
        body = vec![0; header(&headers, "content-length").parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    }
    let (method, target) = (method.to_owned(), target.to_owned());
    Ok(Some(Request { method, target, headers, body }))
}

/// Serves each connection of `listener` with `serve` on a thread of its own.
pub fn listen(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// What a client has seen of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0: no answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says that it ends.
    pub is_whole: bool,
    pub after: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

/// Sends a request on a new connection and reads the answer within `time`.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time: Duration,
) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let _ = exchange(address, method, target, headers, body, time, &mut answer);
    answer.after = began.elapsed();
    answer
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    read_answer(&mut BufReader::new(stream), answer)
}

/// Reads an answer as far as it comes.
pub fn read_answer(reader: &mut impl BufRead, answer: &mut Answer) -> io::Result<()> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(()) };
    answer.status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    let chunked = answer.header("transfer-encoding").eq_ignore_ascii_case("chunked");
    let length: Option<usize> = answer.header("content-length").parse().ok();
    if chunked {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                answer.is_whole = true;
                return Ok(());
            }
            answer.body.extend(chunk);
        }
    }
    let Some(length) = length else {
        // The end of the connection ends it.
        reader.read_to_end(&mut answer.body)?;
        answer.is_whole = true;
        return Ok(());
    };
    let mut left = length;
    let mut buf = [0; 4096];
    while left > 0 {
        let most = left.min(buf.len());
        let n = reader.read(&mut buf[..most])?;
        if n == 0 {
            return Ok(());
        }
        answer.body.extend(&buf[..n]);
        left -= n;
    }
    answer.is_whole = true;
    Ok(())
}

//! HTTP/1.1 for the stand-ins: one thread for each connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns a value of the query, with percent-encoding decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value));
        values.next()
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let digits = text.get(i + 1..i + 3).filter(|_| bytes[i] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(from: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body; `to_end` says whether one without length and chunks ends with the connection.
fn read_body(
    from: &mut impl BufRead,
    headers: &[(String, String)],
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let line = read_line(from)?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length];
            from.read_exact(&mut chunk)?;
            body.extend(chunk);
            read_line(from)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }
    match header(headers, "content-length").and_then(|value| value.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            from.read_exact(&mut body)?;
        }
        None if to_end => {
            from.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

fn read_request(from: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(from)?;
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(from)?;
    let body = read_body(from, &headers, false)?;
    Ok(Request { target, headers, body })
}

/// Answers a request on its connection; returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// Serves `listener` until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut from = BufReader::new(stream.try_clone()?);
                loop {
                    let request = read_request(&mut from)?;
                    if !handler(&request, &mut stream)? {
                        return stream.shutdown(std::net::Shutdown::Both);
                    }
                }
            });
        }
    });
}

/// Writes a whole response.
pub fn respond(
    to: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    to.write_all(text.as_bytes())?;
    Ok(true)
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// `None` if it is not whole.
    pub body: Option<Vec<u8>>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends a request on a new connection; fails if no head of a response comes within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("Connection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let mut from = BufReader::new(stream);
    let line = read_line(&mut from)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
    let headers = read_headers(&mut from)?;
    let body = read_body(&mut from, &headers, true).ok();
    Ok(Response { status, headers, body })
}

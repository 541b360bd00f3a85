//! HTTP/1.1 on loopback: a server with a thread for each channel, and a client for one call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a value of the query, decoded; empty if there is none.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        decode(found.map_or("", |(_, value)| value))
    }
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first == b'%' && after.len() >= 2 {
            let digits = std::str::from_utf8(&after[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
            rest = &after[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A status and a body; status 0 closes the channel, and `None` leaves the call without an answer
/// until its caller gives up.
pub type Answer = Option<(u16, String)>;

/// Listens on a free port of the loopback address.
pub fn listen(handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || serve(stream, &*handle));
        }
    });
    address
}

fn serve(stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let Some((status, body)) = handle(&request) else {
            // Silent: the channel stays open until the caller closes it.
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest);
            return None;
        };
        if status == 0 {
            return None;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body.bytes());
        writer.write_all(&bytes).ok()?;
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

/// Makes one call on its own channel, as a consumer does, and returns status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str("content-type: application/json\r\n");
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    writer.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

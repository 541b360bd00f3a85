//! HTTP/1.1 over TCP, with one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    pairs.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
}

/// Status and body of an answer; `None` closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Serves requests on a free port of the loopback interface and returns the address.
pub fn serve(handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || drop(serve_connection(stream, &*handle)));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handle(&request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_owned);
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.map(|(key, value)| (key.to_owned(), decode(value))).collect(),
        headers,
        body,
    }))
}

fn decode(value: &str) -> String {
    let (mut decoded, bytes, mut at) = (Vec::new(), value.as_bytes(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| value.get(at + 1..at + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(headers);
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let mut body = vec![0; find(headers, "content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A connection of a client, which is opened again when it was closed.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Client {
        Client { address, timeout, stream: None }
    }

    /// Sends a request and returns the status and body, or `None` if no answer came in time.
    pub fn call(&mut self, method: &str, path: &str, headers: &str, body: &str) -> Option<(u16, String)> {
        let answer = self.exchange(method, path, headers, body).ok();
        if answer.is_none() {
            self.stream = None;
        }
        answer
    }

    fn exchange(&mut self, method: &str, path: &str, headers: &str, body: &str) -> io::Result<(u16, String)> {
        if self.stream.as_ref().is_some_and(|reader| is_closed(reader.get_ref())) {
            self.stream = None;
        }
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, self.timeout)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(self.timeout))?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut().expect("the connection is open");
        let request = format!(
            "{method} {path} HTTP/1.1\r\n{headers}content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        reader.get_mut().write_all(request.as_bytes())?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split_whitespace().nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        let headers = read_headers(reader)?;
        let body = read_body(reader, &headers)?;
        if find(&headers, "connection").eq_ignore_ascii_case("close") {
            self.stream = None;
        }
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Returns whether the other side has closed an idle connection.
fn is_closed(stream: &TcpStream) -> bool {
    let state = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let is_open = matches!(&state, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
    !is_open || stream.set_nonblocking(false).is_err()
}

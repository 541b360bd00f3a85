//! Blocking HTTP/1.1 over loopback: a server with a thread a connection, and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn parameter(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(parameter, _)| parameter == name);
        found.map_or("", |(_, value)| value)
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Serves requests until the process ends. A handler that returns `None` closes the connection
/// without an answer.
pub fn serve(handle: impl Fn(Request) -> Option<Response> + Send + Sync + 'static) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    serve_at(any, handle).expect("a free port").address
}

/// A server that can end like a process that is killed.
pub struct Server {
    pub address: SocketAddr,
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Server {
    /// Closes the listener and all connections.
    pub fn end(&self) {
        for stream in self.open.lock().unwrap().take().unwrap_or_default() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}

/// Serves requests at an address until the server is ended.
pub fn serve_at(
    address: SocketAddr,
    handle: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    let open = Arc::new(Mutex::new(Some(Vec::new())));
    let accepted = Arc::clone(&open);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            match (accepted.lock().unwrap().as_mut(), stream.try_clone()) {
                (Some(open), Ok(clone)) => open.push(clone),
                _ => return,
            }
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(Server { address, open })
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(Request) -> Option<Response>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let request = read_request(&mut reader)?;
        let response = handle(request)?;
        let head = format!(
            "HTTP/1.1 {} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        writer.write_all((head + &response.body).as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode(value)));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_rest(reader: &mut impl BufRead) -> Option<(Vec<(String, String)>, Vec<u8>)> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, body))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A client that keeps one connection.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a request; `Err` says how the channel ended without a complete answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        timeout: Duration,
    ) -> Result<Response, String> {
        let outcome = self.exchange(method, path, headers, body, timeout);
        if outcome.is_err() {
            self.connection = None;
        }
        outcome
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        timeout: Duration,
    ) -> Result<Response, String> {
        if self.connection.is_none() {
            let stream =
                TcpStream::connect_timeout(&self.address, timeout.min(Duration::from_secs(1)))
                    .map_err(|error| format!("not connected: {error}"))?;
            stream
                .set_nodelay(true)
                .map_err(|error| error.to_string())?;
            self.connection = Some(BufReader::new(stream));
        }
        let reader = self.connection.as_mut().ok_or("no connection")?;
        let text = |error: std::io::Error| error.to_string();
        reader
            .get_ref()
            .set_read_timeout(Some(timeout))
            .map_err(text)?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        reader
            .get_mut()
            .write_all((head + body).as_bytes())
            .map_err(text)?;
        let mut line = String::new();
        if reader.read_line(&mut line).map_err(text)? == 0 {
            return Err("closed without an answer".to_owned());
        }
        let status = line
            .split_whitespace()
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.ok_or("no status")?;
        let (headers, body) = read_rest(reader).ok_or("answer cut off")?;
        if headers
            .iter()
            .any(|(name, value)| name == "connection" && value == "close")
        {
            self.connection = None;
        }
        Ok(Response::new(status, String::from_utf8_lossy(&body)))
    }
}

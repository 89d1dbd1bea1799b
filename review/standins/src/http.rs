//! HTTP/1.1 for the stand-ins: a server with one thread per connection, and a client connection.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A request or a response: the words of its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Method and target of a request; version and status of a response.
    pub words: (String, String),
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Creates a response.
    pub fn response(status: u16, body: &str) -> Self {
        Self {
            words: ("HTTP/1.1".into(), status.to_string()),
            headers: Vec::new(),
            body: body.as_bytes().to_vec(),
        }
    }

    /// Creates a request.
    pub fn request(method: &str, target: &str) -> Self {
        Self {
            words: (method.into(), target.into()),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.words.1.parse().unwrap_or(0)
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        self.words.1.split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query of a request, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.words.1.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let (_, value) = fields.find(|(other, _)| *other == name)?;
        Some(decode_percent(value))
    }

    fn encode(&self) -> Vec<u8> {
        let (first, second) = &self.words;
        let mut text = if first.starts_with("HTTP/") {
            format!("{first} {second} Answer\r\n")
        } else {
            format!("{first} {second} HTTP/1.1\r\n")
        };
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || first != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn decode_percent(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| value.get(at + 1..at + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        if let Some(byte) = hex {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct HttpConnection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpConnection {
    /// Opens a connection within a second.
    pub fn connect(to: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Writes a message.
    pub fn send(&mut self, message: &HttpMessage) -> Result<()> {
        self.stream.write_all(&message.encode())
    }

    /// Writes a message at `bytes_per_ms`.
    pub fn send_paced(&mut self, message: &HttpMessage, bytes_per_ms: usize) -> Result<()> {
        for part in message.encode().chunks(bytes_per_ms * 2) {
            let started_at = Instant::now();
            self.stream.write_all(part)?;
            let part_time = Duration::from_millis(2);
            thread::sleep(part_time.saturating_sub(started_at.elapsed()));
        }
        Ok(())
    }

    /// Sends a request and reads its response until `limit` has passed.
    pub fn exchange(&mut self, message: &HttpMessage, limit: Duration) -> Result<HttpMessage> {
        self.send(message)?;
        self.receive(limit)
    }

    /// Reads a message until `limit` has passed.
    pub fn receive(&mut self, limit: Duration) -> Result<HttpMessage> {
        let deadline = Instant::now() + limit;
        let message = self.read(Some(deadline))?;
        message.ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "connection ended"))
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn fill(&mut self, deadline: Option<Instant>) -> Result<bool> {
        let limit = match deadline {
            Some(deadline) => {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(ErrorKind::TimedOut.into());
                }
                Some(left)
            }
            None => None,
        };
        self.stream.set_read_timeout(limit)?;
        let mut part = [0_u8; 65_536];
        let read = match self.stream.read(&mut part) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return Err(ErrorKind::TimedOut.into());
            }
            read => read?,
        };
        self.buffer.extend_from_slice(&part[..read]);
        Ok(read > 0)
    }

    fn line(&mut self, deadline: Option<Instant>) -> Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.fill(deadline)? {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, length: usize, deadline: Option<Instant>) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill(deadline)? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a message. Returns none if the connection ends before its first line is complete.
    fn read(&mut self, deadline: Option<Instant>) -> Result<Option<HttpMessage>> {
        let Some(first) = self.line(deadline)? else {
            return Ok(None);
        };
        let mut words = first.split(' ').map(String::from);
        let mut message = HttpMessage {
            words: (
                words.next().unwrap_or_default(),
                words.next().unwrap_or_default(),
            ),
            ..HttpMessage::default()
        };
        loop {
            let line = self.line(deadline)?;
            let line = line.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_string(), value.trim().to_string());
                message.headers.push(header);
            }
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let size = self.line(deadline)?.unwrap_or_default();
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| Error::from(ErrorKind::InvalidData))?;
                let chunk = self.exact(size, deadline)?;
                self.line(deadline)?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length
                .parse()
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            message.body = self.exact(length, deadline)?;
        }
        Ok(Some(message))
    }
}

/// Sends one request on a new connection.
pub fn call(to: SocketAddr, request: &HttpMessage, limit: Duration) -> Result<HttpMessage> {
    HttpConnection::connect(to)?.exchange(request, limit)
}

/// Answers one request, or closes the connection if there is no answer.
pub type HttpHandler = Arc<dyn Fn(HttpMessage) -> Option<HttpMessage> + Send + Sync>;

/// A server; [`HttpServer::stop`] ends it and all of its connections, as the end of a process does.
pub struct HttpServer {
    has_stopped: Arc<AtomicBool>,
    is_refusing: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl HttpServer {
    /// Binds an address and serves it.
    pub fn serve(address: SocketAddr, handler: HttpHandler) -> Result<Self> {
        let listener = bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self {
            has_stopped: Arc::default(),
            is_refusing: Arc::default(),
            streams: Arc::default(),
        };
        let (has_stopped, is_refusing) = (
            Arc::clone(&server.has_stopped),
            Arc::clone(&server.is_refusing),
        );
        let streams = Arc::clone(&server.streams);
        thread::spawn(move || {
            while !has_stopped.load(Ordering::SeqCst) && !is_refusing.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let is_set = stream.set_nonblocking(false).is_ok();
                if !is_set || stream.set_nodelay(true).is_err() {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    let mut streams = streams.lock().unwrap();
                    streams.retain(|stream| stream.peer_addr().is_ok());
                    streams.push(copy);
                }
                let handler = Arc::clone(&handler);
                let has_stopped = Arc::clone(&has_stopped);
                let is_refusing = Arc::clone(&is_refusing);
                thread::spawn(move || {
                    let mut connection = HttpConnection::new(stream);
                    while let Ok(Some(request)) = connection.read(None) {
                        let Some(response) = handler(request) else {
                            break;
                        };
                        if has_stopped.load(Ordering::SeqCst) || connection.send(&response).is_err()
                        {
                            break;
                        }
                        if is_refusing.load(Ordering::SeqCst) {
                            break;
                        }
                    }
                    let _ = connection.stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(server)
    }

    /// Takes no more connections, and closes each open one after its next response.
    pub fn refuse(&self) {
        self.is_refusing.store(true, Ordering::SeqCst);
    }

    /// Stops the server and closes its connections.
    pub fn stop(&self) {
        self.has_stopped.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return Ok(listener);
        }
        thread::sleep(Duration::from_millis(20));
    }
    TcpListener::bind(address)
}

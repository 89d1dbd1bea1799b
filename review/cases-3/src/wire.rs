//! HTTP/1.1 over plain sockets, as far as the stand-ins need it.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The head of a message, and the bytes of the body that were read with it.
pub struct MessageHead {
    /// First line and fields.
    pub text: String,
    /// Bytes that follow the head.
    pub rest: Vec<u8>,
}

impl MessageHead {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.text.lines().skip(1).find_map(|line| {
            let (field, value) = line.split_once(':')?;
            field
                .trim()
                .eq_ignore_ascii_case(name)
                .then(|| value.trim())
        })
    }

    /// Returns the size of the body; zero if none is stated.
    pub fn body_bytes(&self) -> usize {
        let text = self.field("content-length").unwrap_or("0");
        text.parse().unwrap_or_default()
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        let line = self.text.lines().next().unwrap_or_default();
        line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response; zero if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Opens a connection whose receive buffer has `receive_bytes` bytes, or the usual size if that is zero.
///
/// # Errors
///
/// The I/O error if it can't be opened.
pub async fn connect(to: SocketAddr, receive_bytes: u32) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if receive_bytes > 0 {
        socket.set_recv_buffer_size(receive_bytes)?;
    }
    let stream = timeout(Duration::from_secs(1), socket.connect(to)).await;
    let stream = stream.map_err(|_| Error::from(ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads the head of a message. Returns `None` if the connection ends before its first byte.
///
/// # Errors
///
/// The I/O error if the connection ends later, or if the head is too long or no text.
pub async fn read_head(stream: &mut (impl AsyncReadExt + Unpin)) -> Result<Option<MessageHead>> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            let text = String::from_utf8(bytes);
            let text = text.map_err(|_| Error::from(ErrorKind::InvalidData))?;
            return Ok(Some(MessageHead { text, rest }));
        }
        if bytes.len() > MAX_HEAD_BYTES {
            return Err(Error::from(ErrorKind::InvalidData));
        }
        let mut buffer = [0_u8; 4096];
        let count = stream.read(&mut buffer).await?;
        if count == 0 && bytes.is_empty() {
            return Ok(None);
        }
        if count == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// Sends a request with a JSON body on a new connection, and returns the status of the response.
///
/// # Errors
///
/// The I/O error if there is no response in a second.
pub async fn send_json(to: SocketAddr, method: &str, path: &str, body: &str) -> Result<u16> {
    let (status, _) = exchange_json(to, method, path, body).await?;
    Ok(status)
}

/// Sends a request with a JSON body on a new connection, and returns the status and the body of the response.
///
/// # Errors
///
/// The I/O error if there is no response in a second.
pub async fn exchange_json(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, Vec<u8>)> {
    let exchange = async {
        let mut stream = connect(to, 0).await?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).await?;
        let Some(head) = read_head(&mut stream).await? else {
            return Ok((0, Vec::new()));
        };
        let (status, size) = (head.status(), head.body_bytes());
        let mut answer = head.rest;
        while answer.len() < size && stream.read_buf(&mut answer).await? > 0 {}
        Ok((status, answer))
    };
    let result = timeout(Duration::from_secs(1), exchange).await;
    result.unwrap_or_else(|_| Err(Error::from(ErrorKind::TimedOut)))
}

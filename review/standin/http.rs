//! Minimal HTTP/1.1 on blocking sockets, for the stand-ins and clients of the review cases.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Request or response with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Buffered reader of messages from one connection.
pub struct Reader {
    socket: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(socket: TcpStream) -> Self {
        Self { socket, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 16 << 10];
        match self.socket.read(&mut chunk) {
            Ok(0) | Err(_) => None,
            Ok(len) => {
                self.buffer.extend_from_slice(&chunk[..len]);
                Some(())
            }
        }
    }

    /// Reads the next message; none if the connection ends or times out before it is complete.
    ///
    /// Bodies are delimited by their length or by chunked encoding.
    pub fn read(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next()?.to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
        let mut message = Message { start, headers: headers.collect(), body: Vec::new() };
        let chunked = message.header("transfer-encoding").is_some();
        if chunked {
            message.body = self.read_chunks()?;
        } else {
            let len = message.header("content-length").and_then(|text| text.parse().ok());
            message.body = self.read_exact(len.unwrap_or(0))?;
        }
        Some(message)
    }

    fn read_exact(&mut self, len: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < len {
            self.fill()?;
        }
        Some(self.buffer.drain(..len).collect())
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Some(line);
            }
            self.fill()?;
        }
    }

    fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let len = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            if len == 0 {
                while !self.read_line()?.is_empty() {}
                return Some(body);
            }
            body.extend(self.read_exact(len)?);
            self.read_line()?;
        }
    }
}

/// Writes a message whose body has a length.
pub fn write(socket: &mut TcpStream, message: &Message) -> std::io::Result<()> {
    let mut out = format!("{}\r\n", message.start).into_bytes();
    for (key, value) in &message.headers {
        out.extend_from_slice(format!("{key}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", message.body.len()).as_bytes());
    out.extend_from_slice(&message.body);
    socket.write_all(&out)
}

/// Sends a request on a new connection and reads the answer; none if there is none within `wait`.
pub fn call(to: SocketAddr, request: &Message, wait: Duration) -> Option<Message> {
    let mut socket = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    socket.set_nodelay(true).ok()?;
    socket.set_read_timeout(Some(wait)).ok()?;
    socket.set_write_timeout(Some(wait)).ok()?;
    write(&mut socket, request).ok()?;
    Reader::new(socket).read()
}

/// Request without headers except `Host`.
pub fn request(method: &str, target: &str, host: &str, body: &str) -> Message {
    Message {
        start: format!("{method} {target} HTTP/1.1"),
        headers: vec![("Host".to_owned(), host.to_owned())],
        body: body.as_bytes().to_vec(),
    }
}

/// Response with the given status line text, such as `200 OK`.
pub fn response(status: &str, body: Vec<u8>) -> Message {
    Message { start: format!("HTTP/1.1 {status}"), headers: Vec::new(), body }
}

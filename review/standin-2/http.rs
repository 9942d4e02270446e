//! HTTP/1.1 messages as the stand-ins need them: whole requests and whole answers.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request that was read whole.
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Answer that was read whole.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Value of the first field with this name.
pub fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    fields
        .iter()
        .find(|(other, _)| other.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// First line and fields of a message; none if the connection ended before its first byte.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head is truncated"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), fields)));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("a line is no field"))?;
        fields.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Body of a message with a length or in chunks; an empty one if the head states neither.
fn read_body(reader: &mut impl BufRead, fields: &[(String, String)]) -> io::Result<Vec<u8>> {
    if field(fields, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("bad chunk"))?;
            let start = body.len();
            body.resize(start + len, 0);
            reader.read_exact(&mut body[start..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if len == 0 {
                return Ok(body);
            }
        }
    }
    let len = field(fields, "content-length").unwrap_or("0");
    let mut body = vec![0; len.parse().map_err(|_| invalid("bad length"))?];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the next request of a connection; none if the connection ends before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((line, fields)) = read_head(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let mut word = || words.next().unwrap_or_default().to_owned();
    let (method, target) = (word(), word());
    let body = read_body(reader, &fields)?;
    Ok(Some(Request { method, target, fields, body }))
}

/// Reads the next answer of a connection; none if the connection ends before it.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Option<Answer>> {
    let Some((line, fields)) = read_head(reader)? else { return Ok(None) };
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| invalid("bad status line"))?;
    let body = read_body(reader, &fields)?;
    Ok(Some(Answer { status, fields, body }))
}

/// Writes a whole answer.
pub fn write_answer(
    mut socket: &TcpStream,
    status: u16,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    socket.write_all(&[head.as_bytes(), b"\r\n", body].concat())
}

/// Sends a request on a new connection and reads the answer; none if there is none within `limit`.
pub fn call(
    to: SocketAddr,
    limit: Duration,
    method: &str,
    path: &str,
    fields: &str,
    body: &[u8],
) -> Option<Answer> {
    let mut socket = TcpStream::connect_timeout(&to, limit).ok()?;
    socket.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\ncontent-length: {}\r\n{fields}\r\n",
        body.len()
    );
    socket.write_all(&[head.as_bytes(), body].concat()).ok()?;
    read_answer(&mut BufReader::new(socket)).ok().flatten()
}

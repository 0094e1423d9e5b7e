//! As much of HTTP as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head of a request or an answer, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        self.fields.iter().find(|(key, _)| *key == name).map(|(_, value)| value.as_str())
    }
}

/// What matters of an answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Answer {
    pub status: u16,
    /// Whether the body came as long as announced.
    pub whole: bool,
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && !head.first.is_empty() {
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or its chunks. The second value is whether it is whole.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if let Some(length) = head.get("content-length").and_then(|it| it.parse::<u64>().ok()) {
        let read = reader.take(length).read_to_end(&mut body);
        let whole = read.is_ok() && body.len() as u64 == length;
        return (body, whole);
    }
    if !head.get("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        return (body, true);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return (body, false);
        }
        let Ok(size) = u64::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
            return (body, false);
        };
        let before = body.len() as u64;
        if reader.take(size).read_to_end(&mut body).is_err() || body.len() as u64 != before + size {
            return (body, false);
        }
        let mut end = String::new();
        if reader.read_line(&mut end).unwrap_or(0) == 0 {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
    }
}

pub fn status_of(head: &Head) -> u16 {
    head.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(to: SocketAddr, request: &str, timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads one answer.
pub fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let head = read_head(reader).ok()??;
    let (_, whole) = read_body(reader, &head);
    Some(Answer { status: status_of(&head), whole })
}

pub fn post_text(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

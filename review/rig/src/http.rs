//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head; `None` if the connection has ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head ended early"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        let (key, value) = text.split_once(':').ok_or_else(|| broken("no header"))?;
        message.headers.push((key.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body of a message that ends by length or chunks, or, if `to_end`, with the
/// connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok()) {
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    let chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    if !chunked {
        if to_end {
            reader.read_to_end(&mut message.body)?;
        }
        return Ok(());
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the body ended early"));
        }
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
        let size = size.map_err(|_| broken("no size of a chunk"))?;
        let mut data = vec![0; size + 2];
        reader.read_exact(&mut data)?;
        if size == 0 {
            return Ok(());
        }
        message.body.extend_from_slice(&data[..size]);
    }
}

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(addr: SocketAddr, bytes: &[u8], wait: Duration) -> io::Result<Message> {
    let end = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&addr, wait.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.write_all(bytes)?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or_else(|| broken("closed without an answer"))?;
    read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}

/// Sends a request with a JSON body, or none, and reads the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> io::Result<Message> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    exchange(addr, text.as_bytes(), wait)
}

/// One connection of a server.
pub struct Conn {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
    pub number: u64,
}

impl Conn {
    /// Reads the next request; `None` if there is no more.
    pub fn next(&mut self) -> Option<Message> {
        let mut message = read_head(&mut self.reader).ok()??;
        read_body(&mut self.reader, &mut message, false).ok()?;
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// The answer to a request that is meant for another replica, if it is.
pub fn misdirected(request: &Message, own: &str) -> Option<Vec<u8>> {
    request.header("Expected-Instance").filter(|it| *it != own)?;
    let id = request.header("Attempt-Id").map(|it| ("Attempt-Id", it));
    let headers: Vec<_> = id.into_iter().chain([("Not-Executed", "1")]).collect();
    Some(answer("421 Misdirected Request", &headers, b""))
}

/// The bytes of an answer with a body of known length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.into_bytes(), body.to_vec()].concat()
}

/// Serves each connection to an address on a thread of its own.
pub fn serve(addr: SocketAddr, handle: impl Fn(Conn) + Send + Sync + 'static) -> io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                handle(Conn { reader: BufReader::new(copy), stream, number: number as u64 });
            });
        }
    });
    Ok(())
}

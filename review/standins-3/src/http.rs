//! HTTP/1.1 for the stand-ins, over blocking sockets.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The head of a request or a response. Header names are in lower case.
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Header fields.
    pub fields: HashMap<String, String>,
}

impl Head {
    /// Returns the value of a header field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns the word at `index` of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns a parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn closed() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection is closed")
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            ahead: Vec::new(),
        })
    }

    /// Opens a connection.
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&address, limit)?)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1_024];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(closed());
        }
        self.ahead.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let line = self.line()?;
        let mut fields = HashMap::new();
        loop {
            let field = self.line()?;
            let Some((name, value)) = field.split_once(':') else {
                return Ok(Head { line, fields });
            };
            fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }

    /// Reads this many bytes.
    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.fill()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// Reads the next chunk of a chunked body; the last one is empty.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        let bytes = self.exactly(size)?;
        self.line()?;
        Ok(bytes)
    }

    /// Reads the body that a head announces. A body without a length is empty.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut whole = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(whole);
                }
                whole.extend(chunk);
            }
        }
        let length = head
            .get("content-length")
            .and_then(|text| text.parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let mut bytes =
            format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{fields}\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }

    /// Writes a chunk.
    pub fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.send(&chunk)
    }

    /// Waits until `until`; fails if the peer closes the connection before.
    pub fn wait(&mut self, until: Instant) -> io::Result<()> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.stream.set_read_timeout(None);
            }
            let step = left
                .min(Duration::from_millis(20))
                .max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(step))?;
            let mut byte = [0];
            match self.stream.peek(&mut byte) {
                Ok(0) => return Err(closed()),
                // The next request is already there.
                Ok(_) => thread::sleep(step),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// Serves connections on a free port of `ip`, each with a thread that runs `serve` for each request.
pub fn listen<F>(ip: &str, serve: F) -> io::Result<SocketAddr>
where
    F: Fn(&mut Connection, &Head, Vec<u8>) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || -> io::Result<()> {
                let mut connection = Connection::new(stream)?;
                loop {
                    let head = connection.head()?;
                    let body = connection.body(&head)?;
                    serve(&mut connection, &head, body)?;
                }
            });
        }
    });
    Ok(address)
}

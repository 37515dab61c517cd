//! Stand-ins of the clients.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Value of the `Host` header that the routes match.
pub const HOST: &str = "site.example";
/// API key of the clients.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: &'static str,
    /// Prompt and answer tokens of a stream.
    pub tokens: Option<(u64, u64)>,
    /// Time until the client gives up.
    pub deadline: Duration,
}

/// What a client has seen of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub status: u16,
    pub is_complete: bool,
    pub retry_after: Option<Duration>,
}

/// Opens a connection and sends a request.
pub fn send(
    address: SocketAddr,
    request: &Request,
    id: &str,
    left: Duration,
) -> io::Result<Connection> {
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    let (method, path, left) = (
        if request.tokens.is_some() {
            "POST"
        } else {
            "GET"
        },
        request.path,
        left.as_millis(),
    );
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Remaining-Milliseconds: {left}\r\n\
         Authorization: Bearer {KEY}\r\n"
    );
    if let Some((prompt, answer)) = request.tokens {
        head += &format!(
            "X-Model: m\r\nX-Token-Counts: {prompt},{answer}\r\nX-Prompt-Prefix-Hash: 5c1e07a2:40,{id}:{}\r\n\
             Content-Length: 64\r\n\r\n{}",
            prompt - 40,
            "p".repeat(64)
        );
    } else {
        head += "\r\n";
    }
    connection.send(head.as_bytes())?;
    Ok(connection)
}

/// Reads the response to a request.
pub fn receive(connection: &mut Connection, until: Instant) -> io::Result<Seen> {
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(left))?;
    let head = connection.head()?;
    let status = head.word(1).parse().unwrap_or(0);
    let retry_after = head.get("retry-after").and_then(|text| text.parse().ok());
    let is_signed = head.get("x-response-signature").is_some();
    let body = connection.body(&head);
    Ok(Seen {
        status,
        is_complete: body.is_ok() && is_signed && status == 200 && Instant::now() <= until,
        retry_after: retry_after.map(Duration::from_secs_f64),
    })
}

/// Sends a request and, after a promise or a closed connection, once more after the time that the host names.
/// Returns whether it was served, and each attempt for the record.
pub fn ask(address: SocketAddr, request: &Request, id: &str) -> (bool, String) {
    let until = Instant::now() + request.deadline;
    let mut text = String::new();
    for attempt in 0..2 {
        let left = until.saturating_duration_since(Instant::now());
        let id = format!("{id}{attempt:02x}");
        let seen = send(address, request, &id, left)
            .and_then(|mut connection| receive(&mut connection, until));
        match seen {
            Ok(seen) => {
                text += &format!(
                    " {id}:{}{}",
                    seen.status,
                    if seen.is_complete { "" } else { "-" }
                );
                if seen.is_complete || seen.status != 503 {
                    return (seen.is_complete, text);
                }
                let left = until.saturating_duration_since(Instant::now());
                thread::sleep(seen.retry_after.unwrap_or_default().min(left / 3));
            }
            Err(error) => {
                text += &format!(" {id}:{error}");
                return (false, text);
            }
        }
    }
    (false, text)
}

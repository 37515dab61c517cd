//! The requests of a soak's clients.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::{read_body, read_head};
use crate::judge::{End, Millis};
use crate::parts;
use crate::rng::Rng;
use crate::worker::{stream_event, unframed_body};

/// Number of events of a whole stream.
pub const EVENTS: usize = 12;

/// A kind of request, as the route of its path has it.
pub struct Kind {
    pub path: &'static str,
    pub service: &'static str,
    pub repeatable: bool,
    pub max_attempts: usize,
    pub remaining: Millis,
}

pub const KINDS: [Kind; 6] = [
    Kind { path: "look", service: "desk", repeatable: true, max_attempts: 2, remaining: 2_500 },
    Kind { path: "peek", service: "desk", repeatable: true, max_attempts: 1, remaining: 2_500 },
    Kind { path: "book", service: "desk", repeatable: false, max_attempts: 2, remaining: 2_500 },
    Kind { path: "sell", service: "desk", repeatable: false, max_attempts: 1, remaining: 2_500 },
    Kind { path: "ask", service: "writer", repeatable: true, max_attempts: 3, remaining: 10_000 },
    Kind { path: "tell", service: "writer", repeatable: false, max_attempts: 2, remaining: 10_000 },
];

/// Sends one request and reads its answer. Returns how it ended, and when to come back; `None` if the
/// connection is closed. The prompt has `part`, if it is given.
pub fn exchange(stream: &TcpStream, rng: &mut Rng, kind: &Kind, id: &str, part: Option<&str>, left: Duration) -> (End, Option<Duration>) {
    let broken = |error: &dyn std::fmt::Display| (End::Broken(error.to_string()), None);
    let _ = stream.set_nodelay(true);
    let leaves = rng.chance(0.02).then(|| Duration::from_millis(rng.range(1, 200)));
    let _ = stream.set_read_timeout(Some(leaves.unwrap_or(left + Duration::from_millis(700))));
    let _ = stream.set_write_timeout(Some(left));
    let body = vec![b'x'; if rng.chance(0.1) { 60_000 } else { 60 }];
    // Long prompts are read by several workers.
    let tokens = if rng.chance(0.2) { 120_000 } else { 5_000 };
    let stream_headers = if kind.service == "writer" {
        let shared = part.map_or("0a:40".to_owned(), parts::prefix);
        let own = tokens - if part.is_some() { 940 } else { 40 };
        format!("X-Model: m\r\nX-Token-Counts: {tokens},552\r\nX-Prompt-Prefix-Hash: {shared},{}:{own}\r\n", id.replace('-', ""))
    } else {
        String::new()
    };
    let head = format!(
        "POST /{}/{id} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\n{stream_headers}X-Remaining-Milliseconds: {}\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n",
        kind.path,
        left.as_millis(),
        body.len()
    );
    let Ok(mut writer) = stream.try_clone() else { return broken(&"no descriptor") };
    let whole = [head.as_bytes(), &body].concat();
    let split = if rng.chance(0.1) { rng.range(1, whole.len() as u64 - 1) as usize } else { whole.len() };
    let sent = writer.write_all(&whole[..split]).and_then(|()| {
        if split < whole.len() {
            thread::sleep(Duration::from_millis(rng.range(1, 300)));
        }
        writer.write_all(&whole[split..])
    });
    if let Err(error) = sent {
        return broken(&error);
    }
    let Ok(reading) = stream.try_clone() else { return broken(&"no descriptor") };
    let mut reader = BufReader::new(reading);
    let read = read_head(&mut reader).and_then(|head| {
        let mut message = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        read_body(&mut reader, &mut message)?;
        Ok(message)
    });
    let message = match read {
        Ok(message) => message,
        Err(_) if leaves.is_some() => {
            let _ = stream.shutdown(Shutdown::Both);
            return (End::Left, None);
        }
        Err(error) => return broken(&error),
    };
    let status = message.status();
    let expected = if kind.service == "writer" {
        (1..=EVENTS).map(|number| stream_event(id, number)).collect::<String>().into_bytes()
    } else {
        unframed_body(id)
    };
    let closes = message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let wait = message.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let retry = (!closes && reader.buffer().is_empty()).then(|| Duration::from_secs_f64(wait));
    if (200..300).contains(&status) && (message.body != expected || message.header("x-response-signature").is_none()) {
        return (End::Wrong(status, String::from_utf8_lossy(&message.body[message.body.len().saturating_sub(80)..]).into_owned()), None);
    }
    (End::Status(status), retry)
}

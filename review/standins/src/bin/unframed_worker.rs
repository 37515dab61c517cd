//! A worker whose answers have no length and end with their connection, as a process of its own.
//!
//! Arguments: its identifier. It prints its address, and a line for each step of each request.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use review_standins::http::read_request;
use review_standins::worker::{stream_event, unframed_body, EVENTS};

fn main() {
    let name = std::env::args().nth(1).expect("an identifier");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    say(&listener.local_addr().expect("an address").to_string());
    for stream in listener.incoming().flatten() {
        let name = name.clone();
        thread::spawn(move || serve(&name, stream));
    }
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// Streams [`EVENTS`] events, one every 40 ms.
fn stream_events(name: &str, id: &str, writer: &mut TcpStream) {
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {name}.{EVENTS}\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    if writer.write_all(head.as_bytes()).is_err() {
        return;
    }
    for number in 1..=EVENTS {
        if writer.write_all(stream_event(id, number).as_bytes()).is_err() {
            return;
        }
        say(&format!("event {number} of {EVENTS} {id}"));
        thread::sleep(Duration::from_millis(40));
    }
    say(&format!("whole {id}"));
    let _ = writer.shutdown(Shutdown::Write);
}

fn serve(name: &str, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let Ok(Some(request)) = read_request(&mut reader) else { return };
    if request.target() == "/health" {
        let _ = writer.write_all(format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").as_bytes());
        return;
    }
    if request.header("x-expected-instance").is_some_and(|expected| expected != name) {
        let _ = writer.write_all(format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {name}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").as_bytes());
        return;
    }
    let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
    say(&format!("runs {id}"));
    thread::sleep(Duration::from_millis(20));
    if request.header("x-token-counts").is_some() {
        return stream_events(name, &id, &mut writer);
    }
    let body = unframed_body(&id);
    let half = body.len() / 2;
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {name}.{}\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n", body.len());
    if writer.write_all(&[head.as_bytes(), &body[..half]].concat()).is_err() {
        return;
    }
    say(&format!("half {id}"));
    thread::sleep(Duration::from_millis(20));
    if writer.write_all(&body[half..]).is_ok() {
        say(&format!("whole {id}"));
    }
    let _ = writer.shutdown(Shutdown::Write);
}

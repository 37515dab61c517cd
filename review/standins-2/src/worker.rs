//! A worker of a plain service.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::store::Store;

/// A request that a worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub tenant: String,
    pub at: Instant,
}

/// What an engine sends for each request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub events: usize,
    pub event_bytes: usize,
    pub pause: Duration,
}

impl Answer {
    /// Returns the event with this number, counted from 1.
    pub fn event(&self, number: usize) -> Vec<u8> {
        let head = format!("id: {number}\ndata: ");
        let filler = self.event_bytes.saturating_sub(head.len() + 2);
        [head.as_bytes(), &vec![b'x'; filler], b"\n\n"].concat()
    }
}

pub struct Worker {
    /// What an engine sends; `None` for a plain service.
    answer: Option<Answer>,
    pub name: String,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    /// Attempts whose streams were sent to the end.
    pub completed: Mutex<Vec<String>>,
}

impl Worker {
    /// Starts a worker and registers it.
    pub fn start(store: &Store, name: &str, service: &str, zone: &str) -> Arc<Self> {
        Self::start_with(store, name, service, zone, None)
    }

    /// Starts a model worker and registers it.
    pub fn start_engine(
        store: &Store,
        name: &str,
        service: &str,
        zone: &str,
        answer: Answer,
    ) -> Arc<Self> {
        Self::start_with(store, name, service, zone, Some(answer))
    }

    fn start_with(
        store: &Store,
        name: &str,
        service: &str,
        zone: &str,
        answer: Option<Answer>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            answer,
            name: name.to_owned(),
            address: listener.local_addr().expect("an address"),
            runs: Mutex::default(),
            completed: Mutex::default(),
        });
        let address = worker.address;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1764000000000}}"
        );
        store.put("keyed.servers", name, &entry);
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&serving);
                thread::spawn(move || serving.serve(stream));
            }
        });
        worker
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            if request
                .header("x-expected-instance")
                .is_some_and(|name| name != self.name)
            {
                let headers = format!("X-Instance-Id: {}\r\n", self.name);
                http::respond(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            let attempt = self.record(&request);
            if let Some(answer) = self.answer {
                self.stream(&mut stream, &request, &attempt, answer)?;
                continue;
            }
            let headers =
                format!("X-Attempt-Id: {attempt}\r\nX-Response-Signature: s.{attempt}\r\n");
            http::respond(
                &mut stream,
                "200 OK",
                &headers,
                format!("done {attempt}\n").as_bytes(),
            )?;
        }
        Ok(())
    }

    /// Sends a stream after the event that the request names, and cancels it if the connection ends.
    fn stream(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        attempt: &str,
        answer: Answer,
    ) -> io::Result<()> {
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: s.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for number in last + 1..=answer.events {
            thread::sleep(answer.pause);
            let event = answer.event(number);
            let mut bytes = if number == last + 1 {
                head.clone().into_bytes()
            } else {
                Vec::new()
            };
            bytes.extend_from_slice(format!("{:x}\r\n", event.len()).as_bytes());
            bytes.extend_from_slice(&event);
            bytes.extend_from_slice(b"\r\n");
            stream.write_all(&bytes)?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.completed.lock().unwrap().push(attempt.to_owned());
        Ok(())
    }

    fn record(&self, request: &Message) -> String {
        let header = |name| request.header(name).unwrap_or("-").to_owned();
        let run = Run {
            attempt: header("x-attempt-id"),
            tenant: header("x-tenant"),
            at: Instant::now(),
        };
        let attempt = run.attempt.clone();
        self.runs.lock().unwrap().push(run);
        attempt
    }
}

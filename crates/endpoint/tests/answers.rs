//! Answers of plain services that are broken off, or have an impossible status, as the node sees them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertstage_endpoint::{CallError, Client, Service};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Bytes of an upload, more than the sockets of both sides take.
const UPLOAD_BYTES: usize = 12 << 20;
/// Bytes of the upload that a service reads before it answers.
const READ_BYTES: usize = 2_000;

/// Starts a service that reads the start of a request, sends `response` and closes the connection after
/// `pause`, with a reset.
async fn start(response: String, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; READ_BYTES];
            let read = stream.read(&mut request).await;
            // The caller may have closed the connection.
            let _ = stream.write_all(response.as_bytes()).await;
            sleep(pause).await;
            if read.is_ok_and(|count| count == READ_BYTES) {
                stream.set_zero_linger().expect("an open socket");
            }
        }
    });
    address
}

fn connect(address: SocketAddr) -> Arc<dyn Service> {
    let kind = filbertstage_endpoint::find("service").expect("a known kind");
    match (kind.connect)(address) {
        Client::Service(service) => service,
        Client::Engine(_) => panic!("not a service"),
    }
}

/// Guards against a part of an answer that counts as the outcome of a call, because its connection was
/// reset while the request was still being sent.
#[rstest]
#[tokio::test]
async fn an_answer_that_is_broken_off_during_the_upload_is_uncertain(
    #[values(0, 1, 5, 20, 50)] pause_ms: u64,
) {
    let body = "part of an answer. ".repeat(200);
    let response = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    let address = start(response, Duration::from_millis(pause_ms)).await;
    let service = connect(address);
    let upload = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    for number in 0..16 {
        let time = Duration::from_secs(2);
        let called = service.call("book", "a-key", upload.clone(), time).await;
        assert_eq!(called, Err(CallError::Uncertain), "call {number}");
    }
}

/// Guards against an answer with a status that is none, or that ends no exchange, which counts as the
/// outcome of a call.
#[rstest]
#[tokio::test]
async fn an_impossible_status_is_uncertain(
    #[values("000", "099", "101", "600", "999")] status: &str,
) {
    let response = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nodd\n");
    let address = start(response, Duration::ZERO).await;
    let service = connect(address);
    let time = Duration::from_secs(2);
    let called = service.call("book", "a-key", Bytes::new(), time).await;
    assert_eq!(called, Err(CallError::Uncertain));
}

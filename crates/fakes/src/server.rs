//! Runs a router on a loopback address.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use provider::http::{AcceptFlag, Listener};
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::Server as HttpServer;
use volo_http::server::route::Router;

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Lets connections in.
    pub gate: AcceptFlag,
}

impl Server {
    /// Starts `router` on a free loopback port, or on `port` if it is not 0.
    ///
    /// # Errors
    ///
    /// The system's error when the port cannot be bound.
    pub async fn start(router: Router, port: u16) -> io::Result<Self> {
        let gate = AcceptFlag::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let listener = Listener::bind(address, gate.clone()).await?;
        let address = listener.local_addr()?;
        tokio::spawn(HttpServer::new(router).run(listener));
        Ok(Self { address, gate })
    }
}

/// A JSON answer.
pub fn json(status: u16, body: &impl serde::Serialize) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// An error answer.
pub fn error(status: u16, reason: &str) -> Response {
    json(status, &serde_json::json!({ "error": reason }))
}

/// The value of a query parameter.
pub fn query<T: std::str::FromStr>(uri: &http::Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&');
    let mut matching =
        pairs.filter_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    matching.next()?.1.parse().ok()
}

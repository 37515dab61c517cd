//! HTTP server of a fake on a loopback address, and helpers for its handlers.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use provider::http::{AcceptFlag, Listener};
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::Server as HttpServer;
use volo_http::server::route::Router;

/// The running HTTP server of a fake.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Whether the server accepts connections. While the flag is cleared, new connections are closed
    /// at once; open ones stay open.
    pub accepting: AcceptFlag,
}

impl Server {
    /// Starts `router` on a free loopback port, or on `port` if it is not 0.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the port cannot be bound.
    pub async fn start(router: Router, port: u16) -> io::Result<Self> {
        let accepting = AcceptFlag::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let listener = Listener::bind(address, accepting.clone()).await?;
        let address = listener.local_addr()?;
        tokio::spawn(HttpServer::new(router).run(listener));
        Ok(Self { address, accepting })
    }
}

/// Builds a response with `body` as JSON.
pub fn json_response(status: u16, body: &impl serde::Serialize) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Builds an error response with the body `{"error": reason}`.
pub fn error_response(status: u16, reason: &str) -> Response {
    json_response(status, &serde_json::json!({ "error": reason }))
}

/// Returns the value of the query parameter `name`, or `None` if it is absent or malformed.
pub fn query_param<T: std::str::FromStr>(uri: &http::Uri, name: &str) -> Option<T> {
    let pairs = uri.query()?.split('&');
    let mut matching =
        pairs.filter_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name));
    matching.next()?.1.parse().ok()
}

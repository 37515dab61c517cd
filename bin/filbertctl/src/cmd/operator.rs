//! Client of a node's operator API.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use provider::http::{Call, Client, Error as HttpError};
use serde_json::Value;

use super::arguments::{Arguments, Error};

/// Time limit of a request to a node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends requests with an operator's key to one node.
pub struct OperatorClient {
    address: SocketAddr,
    key: String,
}

impl OperatorClient {
    /// Creates a client for the node at `address`. `key` is an operator's key.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_owned(),
        }
    }

    /// Creates a client from the options `--node` and `--key`.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if one of them is missing or invalid.
    pub fn from_arguments(arguments: &mut Arguments) -> Result<Self, Error> {
        Ok(Self {
            address: arguments.required("node")?,
            key: arguments.required("key")?,
        })
    }

    /// Sends a request and returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the node responds with an error status, [`Error::Unavailable`] if the
    /// node does not respond or the body is not JSON.
    pub async fn call(&self, method: Method, path: &str, body: String) -> Result<Value, Error> {
        let authorization = format!("Bearer {}", self.key);
        let headers = [("authorization", authorization.as_str())];
        let call = Call {
            method,
            path,
            headers: &headers,
            body: bytes::Bytes::from(body),
        };
        let response = Client::new(self.address).fetch(call, REQUEST_TIMEOUT).await;
        let body = response.map_err(|error| self.to_error(error))?;
        serde_json::from_slice(&body).map_err(|error| {
            Error::Unavailable(format!(
                "node {}: the response is not JSON: {error}: check --node",
                self.address
            ))
        })
    }

    fn to_error(&self, error: HttpError) -> Error {
        let HttpError::Status(status, body) = error else {
            return Error::Unavailable(format!("node {}: {error}: check --node", self.address));
        };
        let document: Value = serde_json::from_str(&body).unwrap_or_default();
        let message = document["error"]["message"].as_str().unwrap_or(&body);
        Error::Refused(format!(
            "node {} answered {status}: {message}",
            self.address
        ))
    }
}

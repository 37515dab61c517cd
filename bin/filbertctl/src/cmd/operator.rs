//! Calls to the operators' interface of a node.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use platform::http::{Call, Connection, Error as HttpError};
use serde_json::Value;

use super::arguments::{Arguments, Error};

/// Time limit of a call.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A node that the operator speaks to.
pub struct OperatorClient {
    address: SocketAddr,
    key: String,
}

impl OperatorClient {
    /// The node at `address`, with an operator's key.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_owned(),
        }
    }

    /// Reads `--node` and `--key`.
    pub fn from_arguments(arguments: &mut Arguments) -> Result<Self, Error> {
        Ok(Self {
            address: arguments.required("node")?,
            key: arguments.required("key")?,
        })
    }

    /// Sends a call and returns the JSON answer.
    pub async fn call(&self, method: Method, path: &str, body: String) -> Result<Value, Error> {
        let authorization = format!("Bearer {}", self.key);
        let headers = [("authorization", authorization.as_str())];
        let call = Call {
            method,
            path,
            headers: &headers,
            body: bytes::Bytes::from(body),
        };
        let response = Connection::new(self.address)
            .fetch(call, REQUEST_TIMEOUT)
            .await;
        let body = response.map_err(|error| self.to_error(error))?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Unavailable(format!("{}: {error}", self.address)))
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

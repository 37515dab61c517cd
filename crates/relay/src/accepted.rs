//! Requests that were read, routed and admitted.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use kernel::catalogue::{Entry, Route};
use kernel::clock::Instant;
use kernel::fingerprint::Fingerprint;
use kernel::loan::Loan;
use kernel::name::{Service, Workspace};
use kernel::quarantine::Suspect;
use kernel::segment;

use crate::adapter::{Dialect, Forwarding, Metadata};
use crate::attempts::{Attempts, GiveUp};
use crate::loan::{self, Terms};
use crate::observe;

/// Who sent a request to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// Another host, which is cut off from the endpoints.
    Host,
}

impl Origin {
    /// Returns the name that appears in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Host => "host",
        }
    }
}

/// A request that was read, routed and admitted.
#[derive(Clone)]
pub(crate) struct Accepted {
    pub origin: Origin,
    /// What the host that is cut off has stated; `None` for a client's request.
    pub terms: Option<Terms>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub metadata: Metadata,
    /// The same for all requests with this caller, method, path and body.
    pub fingerprint: Fingerprint,
    /// What may crash endpoints: the shared segments of the prompt, and the request.
    pub suspects: Vec<Suspect>,
    pub route: Arc<Route>,
    pub service: Service,
    pub workspace: Option<Workspace>,
    pub priority: u32,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Estimate of how long the client has waited before this attempt.
    pub prior_wait: Duration,
    /// Whether the request tries the links of this host although it is cut off.
    pub tries_links: bool,
}

impl Accepted {
    /// The client's request identifier for logs, or `-` if the client sent none.
    pub fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }

    /// Whether another host has counted the request in its retry budget.
    pub fn is_counted(&self) -> bool {
        self.terms.is_some_and(|terms| terms.is_counted)
    }

    /// The attempts that another host has lent for the request.
    pub fn loan(&self) -> Option<Loan> {
        self.terms.map(|terms| terms.loan)
    }

    /// Counts and logs that the request is given up.
    pub fn log_give_up(&self, attempts: &Attempts, give_up: GiveUp, now: Instant) {
        observe::count_given_up(give_up.as_str());
        let tokens = self.metadata.tokens.map_or(0, |(prompt, _)| prompt);
        log::info!(
            "event=gave_up request={} service={} prompt={tokens} sends={} after_ms={} left_ms={} reason=\"{}\"",
            self.id(),
            self.service,
            attempts.sent(),
            now.since(self.arrived).as_millis(),
            self.deadline.since(now).as_millis(),
            give_up.as_str()
        );
    }

    /// Logs a send that may not be the request's first one: a repeat, or a send for another host.
    pub fn log_repeat(&self, endpoint: &Entry, attempts: &Attempts) {
        if attempts.sent() > 1 || self.origin == Origin::Host {
            log::info!(
                "event=sent request={} endpoint={} origin={} sends={} runs_left={}",
                self.id(),
                endpoint.name,
                self.origin.as_str(),
                attempts.sent(),
                attempts.runs_left()
            );
        }
    }

    /// Logs that an endpoint has run the request to the end, and sent this many events.
    pub fn log_completed(&self, endpoint: &Entry, events: u64) {
        log::info!(
            "event=completed request={} endpoint={} events={events} fingerprint={}",
            self.id(),
            endpoint.name,
            self.fingerprint
        );
    }

    /// The shared segments of the prompt for logs, or `-` if there are none.
    pub fn segments(&self) -> String {
        segment::format_list(&self.metadata.segments)
    }

    /// Builds the request that is sent to an endpoint.
    pub fn outgoing(
        &self,
        dialect: &dyn Dialect,
        forwarding: &Forwarding<'_>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = dialect.build_headers(&self.headers, forwarding);
        request
    }

    /// Builds the request that is sent to another host: the client's own, with the time that is left,
    /// the event after which a resumed stream continues, and the attempts that the host may make.
    pub fn detoured(
        &self,
        dialect: &dyn Dialect,
        remaining: Duration,
        resume_after: Option<&str>,
        loan: Loan,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        dialect.set_progress(request.headers_mut(), remaining, resume_after);
        loan::insert_terms(request.headers_mut(), loan);
        request
    }
}

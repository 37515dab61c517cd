//! Faults that a test injects into endpoints.

/// A fault that affects one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Breaks the connection in the middle of an event, after this many whole events.
    BreakAfter(u64),
    /// Sends nothing more after this many events, but keeps the connection open.
    HangAfter(u64),
    /// After this many events, sends a byte of the next one now and then, and never a whole event.
    TrickleAfter(u64),
    /// Pauses after this many events until the host counts the engine as unresponsive, then goes
    /// on.
    PauseAfter(u64),
    /// Runs the request and closes the connection without a response.
    LoseResponse,
    /// Runs the request and never responds.
    Silence,
    /// Responds with the attempt identifier of another request.
    MismatchedResponse,
    /// Rejects the request with the header that says it was not run.
    Reject,
    /// Like [`Fault::Reject`], with this text as the time in seconds after which the caller may
    /// come back.
    RejectFor(&'static str),
    /// Rejects the request with its attempt identifier, and writes the refusal once more if the same
    /// request arrives on the same connection, which then runs.
    RefuseTwice,
    /// Runs the request and writes a refusal without an attempt identifier, as if that of an earlier
    /// request came once more.
    RefuseOnceMore,
    /// Runs the request and writes the refusal of another attempt.
    RefuseAnother,
    /// Runs the request and responds with status 500.
    Fail,
    /// Runs the request and responds with a body of this many bytes, or with so many more in each event of
    /// a stream.
    Large(usize),
    /// Runs the request and responds with this status, which promises that it has not run.
    Deny(u16),
}

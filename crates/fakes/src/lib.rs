//! Small fakes of the endpoints and the platform, with injectable faults.
//!
//! [`site`] fakes the users' platform for hosts that run the relay. The other fakes are for nodes and
//! implement the HTTP interfaces that docs/interfaces/ describes for the real services.
//!
//! The answer of an [`engine::Engine`] is a function of the prompt, so that a caller can detect a
//! wrong answer, a truncated one or the answer to another prompt:
//!
//! ```
//! use filbertstage_fakes::text;
//!
//! let answer = text::answer("a prompt", 16);
//! assert_eq!(answer, text::answer("a prompt", 16));
//! assert_ne!(answer, text::answer("another prompt", 16));
//! ```

pub mod engine;
pub mod hosts;
pub mod log;
pub mod platform;
mod server;
pub mod service;
pub mod site;
pub mod text;
pub mod weights;

pub use server::Server;

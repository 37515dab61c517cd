//! Small fakes of the endpoints and the platform, with injectable faults.
//!
//! Each fake implements the HTTP interface that docs/interfaces/ describes for the real service.
//! The text of an answer is a function of the prompt, so that a caller can detect a wrong answer, a
//! truncated one or the answer to another prompt:
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

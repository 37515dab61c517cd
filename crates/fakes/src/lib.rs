//! Small stand-ins for the endpoints and the platform, with seeds and faults.
//!
//! Each stand-in speaks the HTTP interface of docs/interfaces/, which is what the project expects
//! of the real services. The text of an answer is a function of the prompt, so a wrong, cut or
//! foreign answer is visible:
//!
//! ```
//! use filbertstage_fakes::text;
//!
//! let whole = text::answer("a prompt", 16);
//! assert_eq!(whole, text::answer("a prompt", 16));
//! assert_ne!(whole, text::answer("another prompt", 16));
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

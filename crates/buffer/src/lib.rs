//! Bodies and events in memory whose sum is bounded.
//!
//! [`Buffers`] is the account of a process, [`Hold`] a part of it and [`read`] reads a body into one.
//! The bytes that it returns keep their hold until the last reference to them is gone, wherever they
//! are passed. [`kernel::buffer`] decides who gets how much.

pub mod events;
mod hold;
pub mod machine;
mod read;

pub use hold::{Buffers, Hold};
pub use read::{Error, Limits, fill, read};

//! Deserializes JSON with comments into typed settings and reports the line of each problem.
//!
//! ```
//! use filbertstage_settings::Document;
//!
//! #[derive(Default, serde::Deserialize)]
//! #[serde(default, deny_unknown_fields)]
//! struct Settings {
//!     host: String,
//! }
//!
//! let document = Document::parse("{ \"hots\": 1 }").expect("JSON");
//! let (settings, problems) = document.deserialize::<Settings>();
//! assert_eq!(settings.host, "");
//! assert_eq!(problems[0].key, "hots");
//! ```

mod changes;
mod document;
pub mod number;

pub use changes::changed_keys;
pub use document::{Document, Problem, Problems};

//! The configuration: a line-based format, its checks, and the plain settings map that the decision module reads.
//!
//! A line is a directive and its values. `{` at the end of a line opens a block, a line with only `}` closes it, `#`
//! begins a comment, and a value with spaces is written in double quotes. `include FILE` is replaced by the lines of
//! FILE.
//!
//! ```
//! let text = "name front-1\nlisten 127.0.0.1:7000\nlist 127.0.0.1:7001\nmethod read-fields {\n  effect idempotent\n  soft-deadline 600ms\n  deadline 5s\n}\n";
//! let config = curlewpoint_config::parse("here", text).unwrap();
//! assert_eq!(config.text("name"), "front-1");
//! assert_eq!(config.settings()["requestClasses"][0]["aim"], 600.0);
//! ```

mod check;
mod directives;
mod grammar;
mod settings;
mod source;
mod units;

pub use check::Config;
pub use directives::{Directive, ValueKind, BLOCKS};
pub use grammar::{Line, Word};
pub use source::{load, parse, read_lines, ConfigErrors};
pub use units::{bytes, milliseconds, share};

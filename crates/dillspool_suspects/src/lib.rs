//! Requests that may crash the backend servers that run them.
//!
//! A request that ends its backend server comes again, under another id and at any host, and ends the
//! next one. What makes two requests the same one stands here, apart from input and output. See
//! `docs/design/suspects.md`.

mod print;

pub use print::{MalformedPrint, PrintKey, PrintParts, RequestPrint};

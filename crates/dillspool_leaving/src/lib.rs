//! Backend servers that say in their answers that they leave.
//!
//! The directory's rows say so as well, but not while the store is away. [`LeavingRegistry`] remembers who said it,
//! without input or output; [`LeavingTracker`] keeps one for a host and logs what is new. See
//! `docs/design/notices.md`.

mod book;
mod desk;

pub use book::{LeavingRegistry, LeavingUpdate};
pub use desk::LeavingTracker;

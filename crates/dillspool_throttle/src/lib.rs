//! Backend servers that say how much they take: so many requests a second from all hosts together, or nothing
//! from this host for a while.
//!
//! What an answer says is read at the edge into a [`RateNotice`] and a [`BackoffNotice`]. [`ThrottleRegistry`] remembers
//! it over moments that are passed in, without input or output, and says whether something may be sent, may not,
//! or whom to ask; [`ThrottleTracker`] keeps one for a host and logs what changes. See `docs/design/limits.md` and
//! `docs/design/notices.md`.

mod book;
mod desk;
mod notice;
mod recent;

pub use book::{NoticeChange, SendDecision, ThrottleRegistry, ThrottleStatus, ThrottleUpdate};
pub use desk::{SendRecord, ThrottleTracker};
pub use notice::{BackoffNotice, RateNotice, RequestRate};

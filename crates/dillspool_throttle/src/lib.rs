//! Backend servers that name how many requests a second they take from all hosts together.
//!
//! What an answer says is read at the edge into a [`RateNotice`]. [`ThrottleBook`] remembers it over moments
//! that are passed in, without input or output; [`ThrottleDesk`] keeps one for a host and logs what changes.

mod book;
mod desk;
mod notice;
mod recent;

pub use book::{NoticeChange, ThrottleBook, ThrottleReading};
pub use desk::{SendMark, ThrottleDesk};
pub use notice::{RateNotice, RequestRate};

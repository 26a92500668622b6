//! A randomized soak of the real router processes, with faults injected from outside.
//!
//! Routers are processes of their own; the store, the backend servers and the callers run here,
//! behind proxies on the loopback address that silence and reset connections. Signals stop,
//! pause, kill and restart the processes. The promises are checked from what callers and backend
//! servers saw; see `docs/operators/soak.md`.

mod backends;
mod callers;
mod check;
mod deadly_parts;
mod faults;
mod limits;
mod notices;
mod proxy;
mod rest;
mod restored;
mod resumptions;
mod router;
mod slow_peers;
mod world;

pub use check::{CallKind, CallOutcome, CallRecord, Violation, check_calls};
pub use faults::FaultKind;
pub use world::{SoakReport, SoakSettings, SoakTrouble, run_soak};

//! A whole system on one machine: hosts, stand-ins and callers.
//!
//! The demo runs it over TCP, tests and measurements in memory under paused time.

mod caller;
mod cluster;
mod processes;

pub use caller::{CallOutcome, CallerClient, ChatCall, chat_prompt, expected_answer};
pub use cluster::{ClusterNet, LocalCluster, OPERATOR_KEY, caller_key};
pub use nix::sys::signal::Signal;
pub use processes::{BinaryPaths, OwnProcess, ProcessSystem, call_text, get, post};

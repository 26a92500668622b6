//! A whole system on one machine: hosts, stand-ins and callers.
//!
//! The demo runs it over TCP, tests and measurements in memory under paused time.

mod caller;
mod cluster;

pub use caller::{CallOutcome, CallerClient, ChatCall, chat_prompt, expected_answer};
pub use cluster::{ClusterNet, LocalCluster, OPERATOR_KEY, caller_key};

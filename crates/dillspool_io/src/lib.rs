//! Network I/O and clocks of a process, both replaceable in tests.
//!
//! A [`NetStack`] opens and accepts connections. The daemons use TCP; tests use an in-memory network with
//! paused time, whose links can be cut or frozen. See `docs/design/io.md`.

mod body;
mod byte_budget;
mod client;
mod clock;
mod connect_probe;
mod exchange;
mod framing_limit;
mod host_clock;
mod link_meter;
mod memory;
mod metered_stream;
mod observed_stream;
mod server;
mod stack;
mod stall_detector;

pub use body::{
    BoxError, ResponseBody, channel_body, full_body, read_body, read_response_body, text_response,
};
pub use byte_budget::{
    BudgetSnapshot, ByteBudget, ByteGuard, ByteLimits, ExchangeBytes, StalledSide,
};
pub use client::{HttpClient, HttpError};
pub use clock::{UnixMillis, WallClock};
pub use connect_probe::{ConnectOutcome, probe_connect};
pub use exchange::{ExchangeBody, exchange_once, exchange_with_budget};
pub use host_clock::{DeadlineElapsed, HostClock};
pub use link_meter::LinkMeter;
pub use memory::{LinkMode, MemoryNet};
pub use metered_stream::CallerConnection;
pub use server::{
    ConnectionGate, HttpHandler, ServerGuards, ServerLimits, handler, serve_http,
    serve_http_guarded, serve_http_reloadable,
};
pub use stack::{BoxFuture, NetListener, NetStack, NetStream};
pub use stall_detector::StallDetector;

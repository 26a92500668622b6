//! Network and clock of a process, replaceable in tests.
//!
//! A [`NetStack`] opens and accepts connections: over TCP in the daemons, in memory in the tests,
//! where time is paused and links are cut or frozen on order. See `docs/design/io.md`.

mod awake;
mod body;
mod client;
mod clock;
mod exchange;
mod held_bytes;
mod held_stream;
mod host_clock;
mod memory;
mod process_look;
mod server;
mod stack;

pub use awake::StallDetector;
pub use body::{
    BoxError, ResponseBody, channel_body, full_body, read_body, read_response_body, text_response,
};
pub use client::{HttpClient, HttpError};
pub use clock::{UnixMillis, WallClock};
pub use exchange::{ExchangeBody, exchange_once, exchange_with_budget};
pub use held_bytes::{
    BudgetSnapshot, ByteBudget, ByteGuard, ByteLimits, ExchangeBytes, StalledSide,
};
pub use held_stream::CallerConnection;
pub use host_clock::{DeadlineElapsed, HostClock};
pub use memory::{LinkMode, MemoryNet};
pub use process_look::{ConnectOutcome, probe_connect};
pub use server::{
    HttpHandler, ServerLimits, handler, serve_http, serve_http_reloadable, serve_http_with_budget,
};
pub use stack::{BoxFuture, NetListener, NetStack, NetStream};

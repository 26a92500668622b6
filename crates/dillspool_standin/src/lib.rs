//! Stand-ins for what surrounds the system: engines, plain services and the platform.
//!
//! They speak the published protocols, keep a small timing model and fail on order. They are for
//! tests, the demo and measurements; nothing of them runs in production.

mod engine;
mod http;
mod plain;
mod platform;

pub use engine::{
    DEADLY_LATE, DEADLY_PROMPT, DEADLY_TEXT, EngineFault, EngineModel, EngineStandIn, token_text,
};
pub use plain::{PlainFault, PlainStandIn};
pub use platform::PlatformStandIn;

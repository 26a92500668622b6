//! A model engine as a timing model.

mod cache;
mod decode;
mod model;
mod prefill;
mod server;
mod state;

pub use model::{DEADLY_LATE, DEADLY_PROMPT, DEADLY_TEXT, EngineFault, EngineModel};
pub use server::EngineStandIn;
pub use state::token_text;

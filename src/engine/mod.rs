//! Client of a model engine.

mod engine_client;
mod engine_state;
mod errors;

pub use engine_client::EngineClient;
pub use engine_state::{EngineState, LoadCommand, UnloadCommand};
pub use errors::EngineError;

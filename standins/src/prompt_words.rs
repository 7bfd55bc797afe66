//! What the engine stand-in answers: words that depend on prompt and position only.

use quetzalpin::routing::rendezvous_weight;

/// A prompt with this word crashes the engine.
pub const POISON_WORD: &str = "CRASHENGINE";

/// The word at a position of the answer to a prompt. The first one identifies the prompt.
#[must_use]
pub fn answer_word(prompt: &str, position: u32) -> String {
    let weight = rendezvous_weight(prompt, &position.to_string());
    format!("w{:08x}", weight >> 32)
}

//! Words that the engine stand-in generates. They depend only on the prompt and the position.

use quetzalpin::routing::rendezvous_weight;

/// A prompt that contains this word crashes the engine.
pub const POISON_WORD: &str = "CRASHENGINE";

/// Word at a position of the answer to a prompt; the word at position 0 identifies the prompt.
#[must_use]
pub fn answer_word(prompt: &str, position: u32) -> String {
    let weight = rendezvous_weight(prompt, &position.to_string());
    format!("w{:08x}", weight >> 32)
}

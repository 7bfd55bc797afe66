//! How much of an answer has arrived.

use serde::{Deserialize, Serialize};

/// How much of the content of an answer has arrived. An answer that came further than another one was
/// not harmed by what ended the other.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub enum AnswerProgress {
    /// Nothing, or only the head.
    #[default]
    #[serde(rename = "n")]
    Nothing,
    /// A part: for a stream an event at least.
    #[serde(rename = "p")]
    Partial,
    /// All of it.
    #[serde(rename = "w")]
    Whole,
}

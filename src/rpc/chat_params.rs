//! The fields of a chat request that routing needs.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, MapAccess, Visitor};

/// Token limit of a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Model, adapter, stream flag and token limit of a chat request; all other fields are skipped
/// without being deserialized.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatParams {
    /// The model, optionally with `@version`.
    pub model: String,
    /// The adapter, optionally with `@version`.
    pub adapter: Option<String>,
    /// Whether the response is a stream.
    pub stream: bool,
    /// Largest number of tokens to generate.
    pub tokens: u32,
}

struct ChatVisitor;

impl<'de> Visitor<'de> for ChatVisitor {
    type Value = ChatParams;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a chat request with a model")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ChatParams, A::Error> {
        let mut model = None;
        let mut adapter = None;
        let mut stream = false;
        let mut tokens = DEFAULT_MAX_TOKENS;
        while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            match key.as_ref() {
                "model" => model = Some(map.next_value()?),
                "adapter" => adapter = map.next_value()?,
                "stream" => stream = map.next_value::<Option<bool>>()?.unwrap_or(false),
                "max_tokens" | "max_completion_tokens" => {
                    tokens = map
                        .next_value::<Option<u32>>()?
                        .unwrap_or(DEFAULT_MAX_TOKENS);
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        let model = model.ok_or_else(|| serde::de::Error::missing_field("model"))?;
        Ok(ChatParams {
            model,
            adapter,
            stream,
            tokens,
        })
    }
}

impl<'de> Deserialize<'de> for ChatParams {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChatVisitor)
    }
}

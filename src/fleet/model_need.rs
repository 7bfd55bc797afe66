//! The model and adapter that a request needs loaded.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A model, with one of its adapters where the request names one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{model}{}", adapter.as_ref().map(|name| format!("/{name}")).unwrap_or_default())]
pub struct ModelNeed {
    /// The model.
    #[serde(rename = "m")]
    pub model: ModelName,
    /// The adapter on top of it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
}

impl ModelNeed {
    /// Parses `model` or `model/adapter`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        match text.split_once('/') {
            Some((model, adapter)) => Self {
                model: ModelName::from(model),
                adapter: Some(AdapterName::from(adapter)),
            },
            None => Self {
                model: ModelName::from(text),
                adapter: None,
            },
        }
    }
}

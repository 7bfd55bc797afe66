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
    /// The only software version of upstreams that may serve the request; `None` if any may.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

impl ModelNeed {
    /// Parses `model` or `model/adapter`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        match text.split_once('/') {
            Some((model, adapter)) => Self {
                model: ModelName::from(model),
                adapter: Some(AdapterName::from(adapter)),
                software: None,
            },
            None => Self::whole(ModelName::from(text)),
        }
    }

    /// A whole model without an adapter, at any software version.
    #[must_use]
    pub const fn whole(model: ModelName) -> Self {
        Self {
            model,
            adapter: None,
            software: None,
        }
    }

    /// The same model and adapter at one software version; at any without one.
    #[must_use]
    pub fn at_software(&self, software: Option<&SoftwareVersion>) -> Self {
        Self {
            software: software.cloned(),
            ..self.clone()
        }
    }

    /// Whether the other need is for the same model and adapter, at whatever software version.
    #[must_use]
    pub fn is_same_load(&self, other: &Self) -> bool {
        self.model == other.model && self.adapter == other.adapter
    }

    /// Whether upstreams of a software version may serve the request.
    #[must_use]
    pub fn allows(&self, software: Option<&SoftwareVersion>) -> bool {
        self.software.is_none() || self.software.as_ref() == software
    }
}

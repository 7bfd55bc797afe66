//! Names as short texts, with a type of its own for each kind of thing.

use compact_str::CompactString;
use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display, From, AsRef,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        #[as_ref(str)]
        pub struct $name(CompactString);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(CompactString::new(text))
            }
        }
    };
}

text_name!(
    /// A customer whose settings form one subtree.
    TeamName
);
text_name!(
    /// A client account of the fleet's configuration.
    AccountName
);
text_name!(
    /// A model as operators name it, without a version.
    ModelName
);
text_name!(
    /// An adapter on top of a model, unique within its team.
    AdapterName
);
text_name!(
    /// A priority rank of work, such as `urgent`.
    RankName
);
text_name!(
    /// A kind of work of one team, such as `stamp`.
    KindName
);
text_name!(
    /// A plain service, as opposed to a model engine.
    ServiceName
);
text_name!(
    /// A machine that runs one process of the system.
    InstanceName
);
text_name!(
    /// An availability zone.
    ZoneName
);
text_name!(
    /// A region of several availability zones.
    RegionName
);
text_name!(
    /// A model at a version, as an upstream loads it, written `model@version`.
    ReplicaName
);

text_name!(
    /// Identity of an upstream in the platform's list.
    UpstreamId
);
text_name!(
    /// Version of the software that an upstream runs, as opposed to the version of its weights.
    SoftwareVersion
);

impl ReplicaName {
    /// Names the given version of a model.
    #[must_use]
    pub fn of(model: &ModelName, version: u32) -> Self {
        Self(compact_str::format_compact!("{model}@{version}"))
    }

    /// The model part of the name.
    #[must_use]
    pub fn model(&self) -> ModelName {
        let text = self.0.rsplit_once('@').map_or(self.as_str(), |(m, _)| m);
        ModelName::from(text)
    }
}

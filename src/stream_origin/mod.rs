//! Which software version began a stream, so that a client can take the stream up again at any
//! process.

mod origin_registry;
mod origin_row;
mod software_history;

pub use origin_registry::{OriginBatch, OriginRegistry};
pub use origin_row::{
    ORIGIN_TTL_MS, OriginRow, StreamOrigin, origin_key, shard_prefixes, stream_id,
};
pub use software_history::SoftwareHistory;

//! Decides which requests give way while the upstreams that could serve them are full.

mod load_shedder;
mod request_work;
mod served_share;
mod size_quantile;

pub use load_shedder::{LoadShedder, ShedVerdict};
pub use request_work::RequestWork;

//! How fast upstreams work: the lasting speed that is learned from their own work, and the present
//! one that they report. Speeds are kept as duration factors: 2 means that work takes twice as long.

mod begin_forecast;
mod class_norms;
mod duration_factor;
mod pace_meter;
mod service_pace;
mod speed_board;
mod speed_record;
mod speed_tracker;
mod work_sample;

pub use begin_forecast::{BeginForecast, PROMPT_TOKEN_MS};
pub use duration_factor::{ALIKE_RATIO, DurationFactor, DurationFigure};
pub use pace_meter::PaceMeter;
pub use speed_board::{SpeedBoard, SpeedReport};
pub use speed_tracker::{SpeedTracker, UpstreamSpeed};
pub use work_sample::{WorkClass, WorkSample};

//! Logs and metrics.

mod lines;
mod logs;
mod meters;
mod series;

pub use {
    logs::start_logs,
    meters::{Meters, RequestLabels},
    series::SeriesBound,
};

//! Measures the cost of control by role: processor time, memory, messages and bytes.
//!
//! For each point of the grid, a fleet of real processes is started and loaded at a fixed rate.
//! Processor time and memory are read from `/proc`; messages and bytes between processes are taken
//! from the metrics that the processes send, because `/proc` does not count bytes per socket.

mod fit;
mod grid;
mod load;
mod point;
mod process_reading;
mod statsd;

pub use fit::{LineFit, fit_line};
pub use grid::{CapacityFactor, CapacityPoint, capacity_grid};
pub use point::{PointResult, RoleResult, measure_point};
pub use process_reading::ProcessReading;
pub use statsd::{MetricTotals, parse_metric_line};

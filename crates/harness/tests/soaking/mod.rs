//! The plan, load, faults and audit of the soak test.

mod audit;
mod load;
mod plan;
mod soak;

pub use {plan::Plan, soak::Soak};

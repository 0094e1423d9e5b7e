//! Towards operators: the tables, the state of the system, and metrics.

mod call;
mod http;
mod server;

pub use {
    call::{OperatorAnswer, OperatorCall, OperatorQuestion, OperatorResponder},
    http::{Handled, HttpService, is_allowed},
    server::serve,
};

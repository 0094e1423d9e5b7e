//! Towards operators: the tables, the state of the system, and metrics.

mod call;
mod http;
mod server;

pub use {
    call::{OperatorAnswer, OperatorCall, OperatorRequest, OperatorResponder},
    http::{HttpReply, HttpService, is_authorized},
    server::serve,
};

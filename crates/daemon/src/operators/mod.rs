//! The HTTP interface for operators: tables, catalog, system state and metrics.

mod call;
mod http;
mod server;

pub use {
    call::{OperatorAnswer, OperatorCall, OperatorRequest, OperatorResponder},
    http::{HttpReply, HttpService, is_authorized},
    server::serve,
};

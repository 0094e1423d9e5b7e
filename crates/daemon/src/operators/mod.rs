//! The HTTP interface for operators: tables, catalog, system state and metrics.

mod call;
mod http;
mod server;

pub use {
    call::{
        CallerWatch, OperatorAnswer, OperatorCall, OperatorRequest, OperatorResponder,
        WaitingCaller,
    },
    http::{HttpReply, HttpService, is_authorized},
    server::serve,
};

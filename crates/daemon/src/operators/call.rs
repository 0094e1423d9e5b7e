//! Requests of operators to the core loop.

use {
    crate::peers::AdminAnswer,
    crate::peers::AdminRequest,
    coord::{
        catalog::Catalog,
        tables::Outcome,
        wire::{ChangeRequest, OperatorError, ResolveRequest},
    },
    std::sync::Arc,
};

/// A callback for the answer to a request.
pub type OperatorResponder = Box<dyn FnOnce(OperatorAnswer) + Send>;

/// A request and the callback for its answer.
pub struct OperatorCall {
    pub request: OperatorRequest,
    pub respond: OperatorResponder,
}

/// A request of an operator.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// Creates a system with this instance as its only voter.
    Found,
    Change(ChangeRequest),
    /// Replaces the catalog by a validated one; `document` is its text as
    /// submitted.
    Catalog {
        catalog: Arc<Catalog>,
        document: Arc<str>,
    },
    Resolve(ResolveRequest),
    Admin(AdminRequest),
}

/// The answer to a request.
pub enum OperatorAnswer {
    Founded(String),
    Outcome(Outcome),
    Admin(AdminAnswer),
    Failed(OperatorError),
}

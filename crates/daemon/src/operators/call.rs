//! What operators ask the core loop.

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

/// Takes the answer to a question.
pub type OperatorResponder = Box<dyn FnOnce(OperatorAnswer) + Send>;

/// A question and where its answer goes.
pub struct OperatorCall {
    pub request: OperatorRequest,
    pub respond: OperatorResponder,
}

/// What is asked.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// Found a system with this instance as its only voter.
    Found,
    Change(ChangeRequest),
    /// Replace the catalog by a checked one, with its author's own text.
    Catalog {
        catalog: Arc<Catalog>,
        document: Arc<str>,
    },
    Resolve(ResolveRequest),
    Admin(AdminRequest),
}

/// What is answered.
pub enum OperatorAnswer {
    Founded(String),
    Outcome(Outcome),
    Admin(AdminAnswer),
    Failed(OperatorError),
}

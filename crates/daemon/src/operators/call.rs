//! Requests of operators to the core loop.

use {
    crate::peers::AdminAnswer,
    crate::peers::AdminRequest,
    coord::{
        catalog::Catalog,
        tables::{Edit, Outcome, RolloutOrder},
        wire::{ChangeRequest, OperatorError, ResolveRequest},
    },
    std::{
        fmt,
        sync::{Arc, Weak},
    },
};

/// A callback for the answer to a request.
pub type OperatorResponder = Box<dyn FnOnce(OperatorAnswer) + Send>;

/// A request and the callback for its answer.
pub struct OperatorCall {
    pub request: OperatorRequest,
    pub caller: CallerWatch,
    /// Whether it may have been sent long before it was read.
    pub is_late: bool,
    pub respond: OperatorResponder,
}

/// Held by what waits for the answer to a request, and dropped when it gives up or its
/// connection ends.
#[derive(Debug, Default)]
pub struct WaitingCaller(Arc<()>);

/// Tells whether the caller of a request still waits for the answer.
#[derive(Debug, Clone)]
pub struct CallerWatch(Weak<()>);

impl WaitingCaller {
    /// Returns a watch on this caller.
    pub fn watch(&self) -> CallerWatch {
        CallerWatch(Arc::downgrade(&self.0))
    }
}

impl CallerWatch {
    /// Whether the caller still waits.
    pub fn is_waiting(&self) -> bool {
        self.0.strong_count() > 0
    }
}

/// A request of an operator.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// Creates a system with this instance as its only voter.
    Found,
    Change(ChangeRequest),
    /// A change whose copies have no identifier in common, so that a late copy can't be
    /// recognized. It applies only if no other change was accepted since its caller was
    /// last known to wait.
    Edits {
        author: String,
        edits: Vec<Edit>,
    },
    /// Replaces the catalog by a validated one; `document` is its text as
    /// submitted.
    Catalog {
        catalog: Arc<Catalog>,
        document: Arc<str>,
    },
    Resolve(ResolveRequest),
    /// Applies only if no other rollout of the pool was ordered since its caller was last
    /// known to wait.
    StartRollout(RolloutOrder),
    Admin(AdminRequest),
}

impl OperatorRequest {
    /// Whether a copy of it that comes late may undo what was ordered since. A catalog
    /// can't, as its version tells.
    pub fn is_order(&self) -> bool {
        match self {
            Self::Change(it) => it.base.is_none(),
            Self::Edits { .. } | Self::Resolve(_) | Self::StartRollout(_) => true,
            Self::Admin(it) => it.is_change(),
            Self::Found | Self::Catalog { .. } => false,
        }
    }
}

impl fmt::Display for OperatorRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Found => f.write_str("found"),
            Self::Change(it) => write!(f, "change {}", it.id),
            Self::Edits { edits, .. } => {
                let texts: Vec<String> = edits.iter().map(ToString::to_string).collect();
                f.write_str(&texts.join(", "))
            }
            Self::Catalog { catalog, .. } => write!(f, "catalog {}", catalog.version),
            Self::Resolve(it) => write!(f, "resolve {}", it.key),
            Self::StartRollout(it) => it.fmt(f),
            Self::Admin(it) => write!(f, "{it:?}"),
        }
    }
}

/// The answer to a request.
pub enum OperatorAnswer {
    Founded(String),
    Outcome(Outcome),
    Admin(AdminAnswer),
    Failed(OperatorError),
}

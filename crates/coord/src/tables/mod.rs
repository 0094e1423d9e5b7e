//! The replicated tables: routes, pools, what is out of service, the roster of
//! instances, the announced endpoints and the catalog.

pub(crate) mod change;
mod endpoint;
mod history;
mod member;
mod pool;
mod rollout;
mod rollout_order;
mod route;
mod state;
mod suspect;
#[allow(clippy::module_inception)]
mod tables;

pub use {
    change::{Change, ChangeOutcome, Edit, EditError, Target},
    endpoint::{Endpoint, EndpointState},
    history::{ChangeRecord, History, MAX_RECORDS},
    member::Member,
    pool::{Pool, PoolKind},
    rollout::{Rollout, RolloutPhase},
    rollout_order::{
        BoundOrder, MAX_ROLLOUT_DURATION, ORDER_REPEAT_TIME, OrderOutcome, RolloutOrder,
        RolloutStanding,
    },
    route::{MAX_DEADLINE, MAX_STAGES, Route, RouteError, Stage},
    state::{Applied, Command, Outcome, State},
    suspect::{Suspect, SuspectError, SuspectKey, Suspects},
    tables::{Delta, Tables},
};

//! The load of the endpoints of relayed requests, summed over all instances.
//!
//! Instances report to the leader, with their renewals, what they have in flight at
//! endpoints. The leader returns the sums and the run times with their age. Each instance
//! corrects them for their age and chooses endpoints by the result. All of this is off
//! unless an instance asks for it or the capacities of instances differ much.

mod affinity;
mod estimates;
mod load_order;
mod load_table;
mod load_view;
mod message;
mod shared_load;

pub use {
    affinity::{AFFINITY_BOUND, AffinityShares, idle_load},
    estimates::{EndpointEstimate, LoadEstimates},
    load_order::{LoadOrder, LoadWeight, OrderRow},
    load_table::{CAPACITY_RATIO, LOAD_INTERVAL, LoadTable},
    load_view::{LoadChoice, LoadSend, LoadSettings, LoadView, MAX_AGE},
    message::{
        Capacity, CapacityError, EndpointSum, LoadReply, LoadRequest, LoadRow, LoadSums,
        MAX_LOAD_ROWS,
    },
    shared_load::SharedLoad,
};

//! How much memory and how many connections clients may make a process hold.
//!
//! Space is asked for before bytes are read and given back when they are gone. Whoever finds
//! no room waits; what has stalled longest is closed first.

mod connection_table;
mod first_message;
mod part_ledger;
mod plan;

pub use {
    connection_table::{
        Admission, CloseReason, ConnectionClass, ConnectionId, ConnectionLimits, ConnectionTable,
    },
    first_message::{FirstBytes, FirstMessage, HeadCheck},
    part_ledger::{Asked, PartLedger, Ticket},
    plan::{BodyRoom, DescriptorPlan, MEMORY_MB_DEFAULT, MemoryMb, MemoryPlan, MemoryUse},
};

//! The control plane: the state that the voters replicate, and each instance's
//! copy of it. The leader grants leases and endpoint shares. Every instance
//! renews its lease with the leader and routes by its own copy of the tables.

mod crash;
mod crash_evidence;
mod cut_table;
mod deregistrations;
mod duties;
mod endpoints;
mod envelope;
mod feed;
mod founding;
mod guard;
mod holder;
mod leader_search;
mod leases;
mod load_duty;
mod renew;
mod renewals;
mod rollout_duties;
mod shares;
mod status;
mod suspect_figures;
mod teams;
mod update_stats;
mod voter;
mod voter_list;

pub use {
    crash::CrashReport,
    crash_evidence::{CRASH_WINDOW, CrashEvidence},
    cut_table::CutTable,
    deregistrations::{Departure, DeregistrationStep, Deregistrations},
    endpoints::EndpointTable,
    envelope::{Envelope, PeerRefusal},
    feed::{Feed, UpdateForm},
    founding::{first_voter, first_voters, founded_system},
    guard::PeerGuard,
    holder::{HolderChange, LeaseHolder},
    leader_search::{LeaderReport, LeaderSearch},
    leases::{LEASE_DURATION, LEASE_MARGIN, LeaseRow, LeaseTable},
    renew::{
        Demand, EndpointFault, EndpointReport, FaultKind, Grants, Holding, LONG_POLL, RenewError,
        RenewReply, RenewRequest, TeamUse, Update,
    },
    rollout_duties::{RolloutDuties, RolloutEvent},
    shares::{EndpointCapacity, ShareHolder, ShareTable},
    status::{EndpointStatus, MemberStatus, Status},
    suspect_figures::{SuspectFigures, Wait},
    teams::TeamTable,
    update_stats::{UpdateCounts, UpdateStats},
    voter::{Completion, ProposalError, Token, Voter},
    voter_list::VoterList,
};

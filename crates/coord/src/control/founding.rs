//! Bootstrap of a system by several first voters at once.
//!
//! Each of them starts from the same first log entry, with identities derived
//! from the same list of addresses. So there is one log however many of them
//! are up, and nothing is committed before a majority of them is.

use {
    crate::{
        ids::{NodeId, SystemId},
        raft::Config,
        relay::rank,
    },
    std::net::SocketAddr,
};

/// Returns the identity of the system that a list of first voters founds.
pub fn founded_system(voters: &[SocketAddr]) -> SystemId {
    SystemId(rank(sorted_list(voters).as_bytes(), b"system"))
}

/// Returns the identity of a first voter, given the addresses of all of them.
pub fn first_voter(voters: &[SocketAddr], addr: SocketAddr) -> NodeId {
    NodeId(rank(sorted_list(voters).as_bytes(), addr.to_string().as_bytes()))
}

/// Returns the initial set of voters.
pub fn first_voters(voters: &[SocketAddr]) -> Config {
    let rows = voters.iter().map(|it| (first_voter(voters, *it), *it));
    Config { voters: rows.collect(), ..Config::default() }
}

fn sorted_list(voters: &[SocketAddr]) -> String {
    let mut texts: Vec<String> = voters.iter().map(ToString::to_string).collect();
    texts.sort();
    texts.join(",")
}

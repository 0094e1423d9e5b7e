//! Periodically announces a stand-in to an instance.

use {
    crate::endpoint::StandIn,
    std::{
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    ureq::Agent,
};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Announces a stand-in until the process exits. Each round starts with the next
/// address in `to` and tries them in turn until one accepts. `offset` is the index
/// of the first and spreads stand-ins over the instances.
pub fn announce(stand_in: &Arc<StandIn>, to: &[SocketAddr], secret: &str, offset: usize) {
    let config =
        Agent::config_builder().timeout_global(Some(ANNOUNCE_TIMEOUT)).http_status_as_error(false);
    let agent = config.build().new_agent();
    let start = Instant::now();
    let cold = Duration::from_millis(stand_in.spec.cold_ms);
    for round in offset.. {
        let body = stand_in.announcement(start.elapsed() < cold);
        if !stand_in.control().unresponsive {
            let tried = (0..to.len()).map(|i| to[(round + i) % to.len()]);
            for addr in tried {
                let request = agent.post(format!("http://{addr}/v1/announce"));
                let request = request.header("Authorization", &format!("Bearer {secret}"));
                if request.send_json(&body).is_ok_and(|it| it.status().is_success()) {
                    break;
                }
            }
        }
        thread::sleep(ANNOUNCE_INTERVAL);
    }
}

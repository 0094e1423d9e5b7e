//! Metrics in the Prometheus text format.

use {
    super::SeriesBound,
    coord::{
        control::UpdateCounts,
        ids::{Class, RouteName, TeamName},
        router::{Finish, Stats},
        time::Millis,
    },
    metrics::{counter, gauge, histogram},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
};

/// Upper bounds of the latency histograms' buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0, 30.0];

/// The metrics of one instance. Teams beyond a limit share one label value, so
/// that the number of series stays bounded.
pub struct Meters {
    handle: PrometheusHandle,
    teams: SeriesBound,
}

/// The attributes that label the metrics of a finished request.
pub struct RequestLabels<'a> {
    pub route: &'a RouteName,
    pub team: &'a TeamName,
    pub class: Class,
}

impl Meters {
    /// Installs the recorder; the first `max_teams` teams get series of their own.
    ///
    /// # Panics
    /// If a recorder is already installed.
    pub fn install(max_teams: usize) -> Self {
        let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S);
        let handle = builder.expect("the list of buckets isn't empty").install_recorder();
        let handle = handle.expect("no other recorder is installed");
        Self { handle, teams: SeriesBound::new(max_teams) }
    }

    /// A handle with which other threads render the metrics.
    pub fn handle(&self) -> PrometheusHandle {
        self.handle.clone()
    }

    /// Records the result, latency and costs of a finished request.
    pub fn record_finished(&mut self, labels: &RequestLabels<'_>, took: Millis, finish: &Finish) {
        let team = self.teams.label(labels.team.as_str());
        let class = labels.class.to_string();
        let result = match &finish.result {
            Ok(_) => "whole".to_owned(),
            Err(it) => it.outcome.to_string(),
        };
        let seconds = took.0 as f64 / 1000.0;
        counter!("mangobend_requests_total", "class" => class.clone(), "result" => result)
            .increment(1);
        if finish.result.is_ok() {
            histogram!("mangobend_request_seconds_by_class", "class" => class.clone())
                .record(seconds);
            histogram!("mangobend_request_seconds_by_team", "team" => team.clone()).record(seconds);
        }
        for stage in &finish.stages {
            let name = format!("{}/{}", labels.route, stage.stage);
            let cost = |kind: &'static str, unit: &'static str| {
                counter!(
                    "mangobend_stage_cost_total",
                    "stage" => name.clone(),
                    "class" => class.clone(),
                    "kind" => kind,
                    "unit" => unit
                )
            };
            cost("all", "ms").increment(stage.busy.0);
            cost("wasted", "ms").increment(stage.wasted.0);
            cost("all", "tokens").increment(stage.tokens.0);
            cost("wasted", "tokens").increment(stage.wasted_tokens.0);
            counter!("mangobend_team_cost_total", "team" => team.clone(), "unit" => "ms")
                .increment(stage.busy.0);
            counter!("mangobend_team_cost_total", "team" => team.clone(), "unit" => "tokens")
                .increment(stage.tokens.0);
        }
    }

    /// Records the router's counters, the number of requests held and whether
    /// this instance has a lease.
    pub fn record_router(&self, stats: &Stats, held: usize, has_lease: bool) {
        gauge!("mangobend_requests_held").set(held as f64);
        gauge!("mangobend_lease").set(f64::from(u8::from(has_lease)));
        let dropped =
            |kind: &'static str| counter!("mangobend_lines_dropped_total", "kind" => kind);
        dropped("foreign").absolute(stats.foreign);
        dropped("repeated").absolute(stats.repeated);
        dropped("reordered").absolute(stats.reordered);
        dropped("late").absolute(stats.late);
        counter!("mangobend_retries_total").absolute(stats.retries);
        counter!("mangobend_hedges_total").absolute(stats.hedges);
        counter!("mangobend_resumed_total").absolute(stats.resumed);
        counter!("mangobend_retries_denied_total").absolute(stats.denied);
        counter!("mangobend_refused_cold_total").absolute(stats.refused_cold);
    }

    /// Records the updates that this instance has sent as the leader.
    pub fn record_updates(&self, counts: &UpdateCounts) {
        let sent = |kind: &'static str| counter!("mangobend_updates_total", "kind" => kind);
        sent("whole").increment(counts.whole);
        sent("deltas").increment(counts.updates - counts.whole);
        counter!("mangobend_updates_repeated_total").increment(counts.repeated);
        counter!("mangobend_update_bytes_total").increment(counts.bytes.0);
    }

    /// Records this instance's replicated state: the version and log index of its
    /// tables, whether it is the leader, and the number of claims.
    pub fn record_control(&self, version: u64, index: u64, is_leader: bool, claims: usize) {
        gauge!("mangobend_tables_version").set(version as f64);
        gauge!("mangobend_tables_index").set(index as f64);
        gauge!("mangobend_leader").set(f64::from(u8::from(is_leader)));
        gauge!("mangobend_claims").set(claims as f64);
    }
}

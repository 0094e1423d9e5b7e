//! Load at a fraction of capacity while a fault is injected, run with the policy
//! under test and with baseline policies for comparison.

use {
    crate::{
        load::{LoadSpec, RequestResult, plan, run_plan},
        report::{Report, Target, quantile},
        scenarios::roll::false_not_run,
        system::System,
    },
    coord::{
        ids::{Class, EndpointName},
        tables::{Edit, Target as ServiceTarget},
        time::WallTime,
    },
    harness::{Caller, Deployment, Proxy},
    standin::{Control, Record},
    std::{
        collections::HashMap,
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// The policy under test, followed by the baselines.
const POLICIES: [&str; 3] = ["shares", "least", "round-robin"];
const LOAD_DURATION: Duration = Duration::from_secs(18);
/// Time of the fault, from the start of the load.
const FAULT_START: Duration = Duration::from_secs(5);
const ONCE_FRACTION: f64 = 0.05;
/// Time after which an endpoint that was taken out of service gets no new
/// requests.
const MAX_NEW_WORK_MS: u64 = 3000;
/// Highest cost of an answer after the fault, relative to that before it.
const MAX_COST_RATIO: f64 = 1.05;
/// Lowest goodput during an outage, relative to the remaining capacity.
const MIN_GOODPUT_RATIO: f64 = 0.95;
/// How long the failure domain stays out of service.
const OUTAGE_DURATION: Duration = Duration::from_secs(7);

/// The load of a scenario and the fault that is injected into it.
struct FaultScenario {
    /// Offered load as a fraction of the capacity.
    load_factor: f64,
    /// Factor on the first team's share of the load.
    burst_factor: Option<f64>,
    min_attainment: f64,
    /// Injects the fault, and returns the outage if it takes endpoints out of
    /// service by operator command.
    fault: fn(&mut System) -> Option<Outage>,
}

/// Endpoints that operators took out of service, and the period.
struct Outage {
    endpoints: Vec<EndpointName>,
    start: WallTime,
    end: WallTime,
}

pub fn steady(report: &mut Report, seed: u64) {
    let scenario = FaultScenario {
        load_factor: 0.7,
        burst_factor: None,
        min_attainment: 0.99,
        fault: |_| None,
    };
    compare(report, seed, &scenario);
}

pub fn burst(report: &mut Report, seed: u64) {
    let scenario = FaultScenario {
        load_factor: 0.7,
        burst_factor: Some(3.0),
        min_attainment: 0.95,
        fault: |_| None,
    };
    compare(report, seed, &scenario);
}

pub fn slow(report: &mut Report, seed: u64) {
    let scenario = FaultScenario {
        load_factor: 0.7,
        burst_factor: None,
        min_attainment: 0.95,
        fault: slow_endpoints,
    };
    compare(report, seed, &scenario);
}

pub fn cold(report: &mut Report, seed: u64) {
    let scenario = FaultScenario {
        load_factor: 0.7,
        burst_factor: None,
        min_attainment: 0.95,
        fault: make_cold,
    };
    compare(report, seed, &scenario);
}

pub fn domain(report: &mut Report, seed: u64) {
    let scenario = FaultScenario {
        load_factor: 0.8,
        burst_factor: None,
        min_attainment: 0.95,
        fault: take_out_domain,
    };
    compare(report, seed, &scenario);
}

pub fn silent(report: &mut Report, seed: u64) {
    let scenario = FaultScenario {
        load_factor: 0.7,
        burst_factor: None,
        min_attainment: 0.95,
        fault: silence_connections,
    };
    compare(report, seed, &scenario);
}

pub fn kill(report: &mut Report, seed: u64) {
    let scenario = FaultScenario {
        load_factor: 0.7,
        burst_factor: None,
        min_attainment: 0.95,
        fault: kill_instance_and_endpoint,
    };
    compare(report, seed, &scenario);
}

/// Returns the requests per second of the deployment's mix that saturate its
/// bottleneck pool.
pub fn capacity(deployment: &Deployment) -> f64 {
    let pool = deployment.bottleneck();
    let endpoints = deployment.endpoints_of(&pool);
    let slots: u32 = endpoints.iter().map(|it| it.slots.0).sum();
    let spec = endpoints[0];
    let fixed = spec.base_ms + u64::from(spec.pieces) * spec.piece_ms;
    let route = &deployment.kinds[0].route;
    let parts = deployment.kinds.iter().filter(|it| it.route == *route);
    let (mut weight, mut time) = (0.0, 0.0);
    for it in parts {
        let input = it.size as f64 * spec.size_ms as f64 / 1000.0;
        weight += f64::from(it.weight);
        time += f64::from(it.weight) * (fixed as f64 + input);
    }
    let all: u32 = deployment.kinds.iter().map(|it| it.weight).sum();
    f64::from(slots) / (time / weight / 1000.0) * f64::from(all) / weight
}

/// Sends load until every endpoint of the bottleneck pool has ramped up, or the
/// ramp timeout passes.
pub fn warm_up(system: &System, seed: u64) {
    let end = Instant::now() + System::ramp_timeout();
    while !system.is_ramped() && Instant::now() < end {
        let rate = 0.6 * capacity(&system.deployment);
        let load_spec = LoadSpec {
            rate,
            duration: Duration::from_secs(1),
            once_fraction: 0.0,
            burst_factor: None,
        };
        run_plan(
            plan(&system.deployment, load_spec, system.cluster.instances.len(), seed),
            &system.callers(),
        );
    }
}

/// Runs the scenario once with each policy. Only the policy under test has to
/// meet targets.
fn compare(report: &mut Report, seed: u64, scenario: &FaultScenario) {
    for policy in POLICIES {
        let mut system = System::start(Deployment::kilimo(), policy);
        warm_up(&system, seed);
        let before = system.stand_ins.records();
        let rate = scenario.load_factor * capacity(&system.deployment);
        let load_spec = LoadSpec {
            rate,
            duration: LOAD_DURATION,
            once_fraction: ONCE_FRACTION,
            burst_factor: scenario.burst_factor,
        };
        let requests = plan(&system.deployment, load_spec, system.cluster.instances.len(), seed);
        let callers: Vec<Caller> = system.callers();
        let load = thread::spawn(move || run_plan(requests, &callers));
        thread::sleep(FAULT_START);
        let outage = (scenario.fault)(&mut system);
        let results = load.join().expect("load thread doesn't panic");
        let under_test = policy == POLICIES[0];
        add_load_figures(report, policy, under_test, scenario, &results);
        let zero = if under_test { Target::AtMost(0.0) } else { Target::None };
        add_record_figures(report, policy, zero, &system, &before, &results);
        add_cost_ratio(report, policy, under_test, &results);
        if let Some(outage) = outage {
            add_outage_figures(report, policy, zero, &system, &outage);
            add_goodput_of_remaining(report, policy, under_test, &system, &results);
        }
    }
}

fn add_load_figures(
    report: &mut Report,
    policy: &str,
    under_test: bool,
    scenario: &FaultScenario,
    results: &[RequestResult],
) {
    let target = |bound| if under_test { Target::AtLeast(bound) } else { Target::None };
    let attained = attainment(results.iter());
    report.add(policy, "attainment", attained, "ratio", target(scenario.min_attainment));
    for class in Class::ALL {
        let part = results.iter().filter(|it| it.planned.request.class == class);
        let name = format!("attainment_{class}");
        report.add(policy, &name, attainment(part), "ratio", Target::None);
    }
    let burst_team = "salons-north";
    let small_teams = results.iter().filter(|it| it.planned.request.team.as_str() != burst_team);
    let bound = if scenario.burst_factor.is_some() { target(0.98) } else { Target::None };
    report.add(policy, "attainment_small_teams", attainment(small_teams), "ratio", bound);
    let good = results.iter().filter(|it| it.is_good()).count() as f64;
    report.add(policy, "goodput", good / LOAD_DURATION.as_secs_f64(), "1/s", Target::None);
    let part = good / results.len() as f64;
    report.add(policy, "good_of_offered", part, "ratio", Target::None);
    let refused = results.iter().filter(|it| it.is_refused()).count() as f64;
    report.add(policy, "refused", refused / results.len() as f64, "ratio", Target::None);
    let mut times: Vec<f64> = results
        .iter()
        .filter(|it| it.answer.complete().is_some())
        .map(|it| it.latency.as_secs_f64() * 1000.0)
        .collect();
    report.add(policy, "p50", quantile(&mut times, 0.5), "ms", Target::None);
    report.add(policy, "p99", quantile(&mut times, 0.99), "ms", Target::None);
    add_cost_figures(report, policy, results);
}

/// Returns the fraction of requests answered completely and in time, out of those
/// that weren't refused early.
fn attainment<'a>(results: impl Iterator<Item = &'a RequestResult>) -> f64 {
    let accepted: Vec<&RequestResult> = results.filter(|it| !it.is_refused()).collect();
    let good = accepted.iter().filter(|it| it.is_good()).count();
    good as f64 / accepted.len() as f64
}

fn add_cost_figures(report: &mut Report, policy: &str, results: &[RequestResult]) {
    let (each, wasted) = cost(results.iter());
    report.add(policy, "cost_per_answer", each, "ms", Target::None);
    report.add(policy, "wasted", wasted, "ratio", Target::None);
}

/// Adds the cost of an answer after the fault, relative to that before it.
fn add_cost_ratio(report: &mut Report, policy: &str, under_test: bool, results: &[RequestResult]) {
    let before = |it: &&RequestResult| it.planned.offset + it.latency < FAULT_START;
    let after = |it: &&RequestResult| it.planned.offset > FAULT_START;
    let (free, _) = cost(results.iter().filter(before));
    let (faulty, _) = cost(results.iter().filter(after));
    let target = if under_test { Target::AtMost(MAX_COST_RATIO) } else { Target::None };
    report.add(policy, "cost_beside_fault_free", faulty / free, "ratio", target);
}

/// Adds the goodput while a domain is out of service, relative to the capacity of
/// the remaining endpoints.
fn add_goodput_of_remaining(
    report: &mut Report,
    policy: &str,
    under_test: bool,
    system: &System,
    results: &[RequestResult],
) {
    let (from, to) = (FAULT_START + Duration::from_secs(1), FAULT_START + OUTAGE_DURATION);
    let end = |it: &RequestResult| it.planned.offset + it.latency;
    let inside = |it: &&RequestResult| it.is_good() && end(it) >= from && end(it) < to;
    let good = results.iter().filter(inside).count() as f64;
    let rate = good / (to - from).as_secs_f64();
    let pool = system.deployment.bottleneck();
    let endpoints = system.deployment.endpoints_of(&pool);
    let out = system.deployment.domains[1];
    let left = endpoints.iter().filter(|it| it.domain.as_str() != out).count();
    let carried = capacity(&system.deployment) * left as f64 / endpoints.len() as f64;
    let target = if under_test { Target::AtLeast(MIN_GOODPUT_RATIO) } else { Target::None };
    report.add(policy, "goodput_of_remaining", rate / carried, "ratio", target);
}

/// Returns the endpoint time per complete answer in milliseconds, and the fraction
/// of endpoint time that was wasted.
fn cost<'a>(results: impl Iterator<Item = &'a RequestResult>) -> (f64, f64) {
    let (mut busy, mut wasted, mut answered) = (0, 0, 0);
    for it in results {
        let (stages, whole) = match (it.answer.complete(), it.answer.failure()) {
            (Some(it), _) => (&it.stages, true),
            (_, Some(it)) => (&it.stages, false),
            _ => continue,
        };
        answered += u32::from(whole);
        busy += stages.iter().map(|it| it.busy_ms).sum::<u64>();
        wasted += stages.iter().map(|it| it.wasted_ms).sum::<u64>();
    }
    (busy as f64 / f64::from(answered), wasted as f64 / busy as f64)
}

/// Adds the figures that compare the stand-ins' records with the results that the
/// callers got.
fn add_record_figures(
    report: &mut Report,
    policy: &str,
    zero: Target,
    system: &System,
    before: &[(EndpointName, Record)],
    results: &[RequestResult],
) {
    let old: HashMap<&EndpointName, &Record> = before.iter().map(|(name, it)| (name, it)).collect();
    let (mut breaches, mut most) = (0, 0);
    let mut effects: HashMap<String, u32> = HashMap::new();
    for (name, record) in system.stand_ins.records() {
        breaches += record.cold_breaches - old.get(&name).map_or(0, |it| it.cold_breaches);
        most = most.max(record.peak_cold);
        for it in record.effects.into_iter().filter(|_| name.as_str().contains("ledger")) {
            *effects.entry(it).or_default() += 1;
        }
    }
    let doubled = effects.values().filter(|it| **it > 1).count();
    let lost = results.iter().filter(|it| it.is_broken()).count();
    let foreign = results.iter().filter(|it| it.is_foreign()).count();
    let false_reports = false_not_run(results, system);
    report.add(policy, "most_in_flight_cold", f64::from(most), "requests", Target::None);
    report.add(policy, "cold_breaches", f64::from(breaches), "requests", zero);
    report.add(policy, "lost", lost as f64, "requests", Target::None);
    report.add(policy, "doubled", doubled as f64, "effects", zero);
    report.add(policy, "foreign", foreign as f64, "requests", zero);
    report.add(policy, "false_not_run", false_reports as f64, "requests", zero);
}

/// Adds the requests that still reached endpoints after they were taken out of
/// service.
fn add_outage_figures(
    report: &mut Report,
    policy: &str,
    zero: Target,
    system: &System,
    outage: &Outage,
) {
    let (mut late, mut last) = (0, 0);
    for name in &outage.endpoints {
        let runs = system.stand_ins.record(name).runs;
        for run in runs.iter().filter(|it| it.at >= outage.start && it.at < outage.end) {
            let after = run.at.0 - outage.start.0;
            last = last.max(after);
            late += u32::from(after > MAX_NEW_WORK_MS);
        }
    }
    report.add(policy, "new_work_after_3_s", f64::from(late), "requests", zero);
    report.add(policy, "last_new_work", last as f64, "ms", Target::None);
}

fn wall_clock() -> WallTime {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(passed.as_millis() as u64)
}

/// Returns the first endpoint of each pool.
fn first_of_each_pool(system: &System) -> Vec<EndpointName> {
    let pools = system.deployment.pools.iter();
    pools.map(|it| system.deployment.endpoints_of(it.name.as_str())[0].name.clone()).collect()
}

fn slow_endpoints(system: &mut System) -> Option<Outage> {
    for name in first_of_each_pool(system) {
        system.stand_ins.control(&name, &Control { slow_factor: 10, ..Control::default() });
    }
    None
}

fn make_cold(system: &mut System) -> Option<Outage> {
    let pool = system.deployment.bottleneck();
    for spec in system.deployment.endpoints_of(&pool).into_iter().take(3) {
        system.stand_ins.control(&spec.name, &Control { cold: true, ..Control::default() });
    }
    None
}

fn take_out_domain(system: &mut System) -> Option<Outage> {
    let domain = system.deployment.domains[1];
    let target = ServiceTarget::Domain(domain.parse().expect("valid name"));
    let operator = system.cluster.operator();
    operator.edit(vec![Edit::TakeOut(target.clone())]).expect("change request is answered");
    let start = wall_clock();
    thread::sleep(OUTAGE_DURATION);
    let end = wall_clock();
    operator.edit(vec![Edit::BringBack(target)]).expect("change request is answered");
    let inside = system.deployment.endpoints.iter().filter(|it| it.domain.as_str() == domain);
    Some(Outage { endpoints: inside.map(|it| it.name.clone()).collect(), start, end })
}

/// Makes all open connections between instances go silent without an error, and
/// one endpoint of each pool accept calls without answering.
fn silence_connections(system: &mut System) -> Option<Outage> {
    system.cluster.instances.iter().map(|it| &it.proxy).for_each(Proxy::blackhole_open);
    for name in first_of_each_pool(system) {
        system.stand_ins.control(&name, &Control { unresponsive: true, ..Control::default() });
    }
    None
}

/// Kills an instance that isn't the leader together with an endpoint of the
/// bottleneck pool. Connections of callers to that instance are lost.
fn kill_instance_and_endpoint(system: &mut System) -> Option<Outage> {
    let victim = (system.cluster.leader() + 1) % system.cluster.instances.len();
    system.cluster.kill(victim);
    let pool = system.deployment.bottleneck();
    let name = system.deployment.endpoints_of(&pool)[0].name.clone();
    system
        .stand_ins
        .control(&name, &Control { fail: true, unresponsive: true, ..Control::default() });
    None
}

//! Load at a stated part of capacity while something fails, beside baselines.

use {
    crate::{
        load::{Ended, Shape, plan, send},
        report::{Report, Target, quantile},
        scenarios::roll::false_not_run,
        system::System,
    },
    coord::{
        ids::{Class, EndpointName},
        tables::{Edit, Target as Place},
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

/// The policy under test, and the baselines.
const POLICIES: [&str; 3] = ["shares", "least", "round-robin"];
const TIME: Duration = Duration::from_secs(18);
/// When the fault begins.
const FAULT_AT: Duration = Duration::from_secs(5);
const ONCE: f64 = 0.05;
/// What is out of service gets nothing new after this time.
const OUT_MS: u64 = 3000;
/// The most that an answer may cost beside the fault-free.
const COST_RATIO: f64 = 1.05;
/// The least goodput beside what the remaining capacity allows.
const REMAINING: f64 = 0.95;
/// How long a domain stays out.
const OUT_TIME: Duration = Duration::from_secs(7);

/// What is done while the load runs.
struct Plan {
    load: f64,
    burst: Option<f64>,
    attainment: f64,
    fault: fn(&mut System) -> Option<Taken>,
}

/// Endpoints that were taken out at a time.
struct Taken {
    endpoints: Vec<EndpointName>,
    at: WallTime,
    back: WallTime,
}

pub fn steady(report: &mut Report, seed: u64) {
    let plan = Plan { load: 0.7, burst: None, attainment: 0.99, fault: |_| None };
    compare(report, seed, &plan);
}

pub fn burst(report: &mut Report, seed: u64) {
    let plan = Plan { load: 0.7, burst: Some(3.0), attainment: 0.95, fault: |_| None };
    compare(report, seed, &plan);
}

pub fn slow(report: &mut Report, seed: u64) {
    let plan = Plan { load: 0.7, burst: None, attainment: 0.95, fault: slow_down };
    compare(report, seed, &plan);
}

pub fn cold(report: &mut Report, seed: u64) {
    let plan = Plan { load: 0.7, burst: None, attainment: 0.95, fault: go_cold };
    compare(report, seed, &plan);
}

pub fn domain(report: &mut Report, seed: u64) {
    let plan = Plan { load: 0.8, burst: None, attainment: 0.95, fault: take_out };
    compare(report, seed, &plan);
}

pub fn silent(report: &mut Report, seed: u64) {
    let plan = Plan { load: 0.7, burst: None, attainment: 0.95, fault: silence };
    compare(report, seed, &plan);
}

pub fn kill(report: &mut Report, seed: u64) {
    let plan = Plan { load: 0.7, burst: None, attainment: 0.95, fault: kill_both };
    compare(report, seed, &plan);
}

/// Requests a second that the bottleneck of the user's mix carries.
pub fn capacity(user: &Deployment) -> f64 {
    let pool = user.bottleneck();
    let endpoints = user.endpoints_of(&pool);
    let slots: u32 = endpoints.iter().map(|it| it.slots.0).sum();
    let spec = endpoints[0];
    let fixed = spec.base_ms + u64::from(spec.pieces) * spec.piece_ms;
    let route = &user.kinds[0].route;
    let parts = user.kinds.iter().filter(|it| it.route == *route);
    let (mut weight, mut time) = (0.0, 0.0);
    for it in parts {
        let input = it.size as f64 * spec.size_ms as f64 / 1000.0;
        weight += f64::from(it.weight);
        time += f64::from(it.weight) * (fixed as f64 + input);
    }
    let all: u32 = user.kinds.iter().map(|it| it.weight).sum();
    f64::from(slots) / (time / weight / 1000.0) * f64::from(all) / weight
}

/// Load until every endpoint of the bottleneck is ramped.
pub fn warm_up(system: &System, seed: u64) {
    let end = Instant::now() + System::ramp_bound();
    while !system.is_ramped() && Instant::now() < end {
        let rate = 0.6 * capacity(&system.user);
        let shape = Shape { rate, time: Duration::from_secs(1), once: 0.0, burst: None };
        send(plan(&system.user, shape, system.cluster.instances.len(), seed), &system.callers());
    }
}

fn compare(report: &mut Report, seed: u64, what: &Plan) {
    for policy in POLICIES {
        let mut system = System::start(Deployment::kilimo(), policy);
        warm_up(&system, seed);
        let before = system.stand_ins.records();
        let rate = what.load * capacity(&system.user);
        let shape = Shape { rate, time: TIME, once: ONCE, burst: what.burst };
        let requests = plan(&system.user, shape, system.cluster.instances.len(), seed);
        let callers: Vec<Caller> = system.callers();
        let load = thread::spawn(move || send(requests, &callers));
        thread::sleep(FAULT_AT);
        let taken = (what.fault)(&mut system);
        let ended = load.join().expect("the load ends");
        let own = policy == POLICIES[0];
        show(report, policy, own, what, &ended);
        let truth = if own { Target::AtMost(0.0) } else { Target::None };
        show_records(report, policy, truth, &system, &before, &ended);
        show_cost_of_fault(report, policy, own, &ended);
        if let Some(taken) = taken {
            show_taken(report, policy, truth, &system, &taken);
            show_remaining(report, policy, own, &system, &ended);
        }
    }
}

fn show(report: &mut Report, policy: &str, own: bool, what: &Plan, ended: &[Ended]) {
    let target = |bound| if own { Target::AtLeast(bound) } else { Target::None };
    let attained = attainment(ended.iter());
    report.add(policy, "attainment", attained, "ratio", target(what.attainment));
    for class in Class::ALL {
        let part = ended.iter().filter(|it| it.planned.request.class == class);
        let name = format!("attainment_{class}");
        report.add(policy, &name, attainment(part), "ratio", Target::None);
    }
    let big = "salons-north";
    let small = ended.iter().filter(|it| it.planned.request.team.as_str() != big);
    let bound = if what.burst.is_some() { target(0.98) } else { Target::None };
    report.add(policy, "attainment_small_teams", attainment(small), "ratio", bound);
    let good = ended.iter().filter(|it| it.is_good()).count() as f64;
    report.add(policy, "goodput", good / TIME.as_secs_f64(), "1/s", Target::None);
    let part = good / ended.len() as f64;
    report.add(policy, "good_of_offered", part, "ratio", Target::None);
    let refused = ended.iter().filter(|it| it.is_refused()).count() as f64;
    report.add(policy, "refused", refused / ended.len() as f64, "ratio", Target::None);
    let mut times: Vec<f64> = ended
        .iter()
        .filter(|it| it.answer.complete().is_some())
        .map(|it| it.took.as_secs_f64() * 1000.0)
        .collect();
    report.add(policy, "p50", quantile(&mut times, 0.5), "ms", Target::None);
    report.add(policy, "p99", quantile(&mut times, 0.99), "ms", Target::None);
    show_cost(report, policy, ended);
}

/// On time and whole, of those that weren't refused early.
fn attainment<'a>(ended: impl Iterator<Item = &'a Ended>) -> f64 {
    let accepted: Vec<&Ended> = ended.filter(|it| !it.is_refused()).collect();
    let good = accepted.iter().filter(|it| it.is_good()).count();
    good as f64 / accepted.len() as f64
}

fn show_cost(report: &mut Report, policy: &str, ended: &[Ended]) {
    let (each, wasted) = cost(ended.iter());
    report.add(policy, "cost_per_answer", each, "ms", Target::None);
    report.add(policy, "wasted", wasted, "ratio", Target::None);
}

/// The cost of an answer after the fault, beside that before it.
fn show_cost_of_fault(report: &mut Report, policy: &str, own: bool, ended: &[Ended]) {
    let before = |it: &&Ended| it.planned.at + it.took < FAULT_AT;
    let after = |it: &&Ended| it.planned.at > FAULT_AT;
    let (free, _) = cost(ended.iter().filter(before));
    let (faulty, _) = cost(ended.iter().filter(after));
    let target = if own { Target::AtMost(COST_RATIO) } else { Target::None };
    report.add(policy, "cost_beside_fault_free", faulty / free, "ratio", target);
}

/// Good answers a second while a domain is out, beside what the rest carries.
fn show_remaining(report: &mut Report, policy: &str, own: bool, system: &System, ended: &[Ended]) {
    let (from, to) = (FAULT_AT + Duration::from_secs(1), FAULT_AT + OUT_TIME);
    let end = |it: &Ended| it.planned.at + it.took;
    let inside = |it: &&Ended| it.is_good() && end(it) >= from && end(it) < to;
    let good = ended.iter().filter(inside).count() as f64;
    let rate = good / (to - from).as_secs_f64();
    let pool = system.user.bottleneck();
    let endpoints = system.user.endpoints_of(&pool);
    let out = system.user.domains[1];
    let left = endpoints.iter().filter(|it| it.domain.as_str() != out).count();
    let carried = capacity(&system.user) * left as f64 / endpoints.len() as f64;
    let target = if own { Target::AtLeast(REMAINING) } else { Target::None };
    report.add(policy, "goodput_of_remaining", rate / carried, "ratio", target);
}

/// Endpoint time for each whole answer, and the part of it that led to nothing.
fn cost<'a>(ended: impl Iterator<Item = &'a Ended>) -> (f64, f64) {
    let (mut busy, mut wasted, mut answered) = (0, 0, 0);
    for it in ended {
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

fn show_records(
    report: &mut Report,
    policy: &str,
    zero: Target,
    system: &System,
    before: &[(EndpointName, Record)],
    ended: &[Ended],
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
    let lost = ended.iter().filter(|it| it.is_broken()).count();
    let foreign = ended.iter().filter(|it| it.is_foreign()).count();
    let false_claims = false_not_run(ended, system);
    report.add(policy, "most_in_flight_cold", f64::from(most), "requests", Target::None);
    report.add(policy, "cold_breaches", f64::from(breaches), "requests", zero);
    report.add(policy, "lost", lost as f64, "requests", Target::None);
    report.add(policy, "doubled", doubled as f64, "effects", zero);
    report.add(policy, "foreign", foreign as f64, "requests", zero);
    report.add(policy, "false_not_run", false_claims as f64, "requests", zero);
}

fn show_taken(report: &mut Report, policy: &str, zero: Target, system: &System, taken: &Taken) {
    let (mut late, mut last) = (0, 0);
    for name in &taken.endpoints {
        let runs = system.stand_ins.record(name).runs;
        for run in runs.iter().filter(|it| it.at >= taken.at && it.at < taken.back) {
            let after = run.at.0 - taken.at.0;
            last = last.max(after);
            late += u32::from(after > OUT_MS);
        }
    }
    report.add(policy, "new_work_after_3_s", f64::from(late), "requests", zero);
    report.add(policy, "last_new_work", last as f64, "ms", Target::None);
}

fn wall() -> WallTime {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(passed.as_millis() as u64)
}

/// One endpoint of each pool.
fn one_of_each(system: &System) -> Vec<EndpointName> {
    let pools = system.user.pools.iter();
    pools.map(|it| system.user.endpoints_of(it.name.as_str())[0].name.clone()).collect()
}

fn slow_down(system: &mut System) -> Option<Taken> {
    for name in one_of_each(system) {
        system.stand_ins.control(&name, &Control { slow_factor: 10, ..Control::default() });
    }
    None
}

fn go_cold(system: &mut System) -> Option<Taken> {
    let pool = system.user.bottleneck();
    for spec in system.user.endpoints_of(&pool).into_iter().take(3) {
        system.stand_ins.control(&spec.name, &Control { cold: true, ..Control::default() });
    }
    None
}

fn take_out(system: &mut System) -> Option<Taken> {
    let domain = system.user.domains[1];
    let place = Place::Domain(domain.parse().expect("a name"));
    let operator = system.cluster.operator();
    operator.edit(vec![Edit::TakeOut(place.clone())]).expect("the change is accepted");
    let at = wall();
    thread::sleep(OUT_TIME);
    let back = wall();
    operator.edit(vec![Edit::BringBack(place)]).expect("the change is accepted");
    let inside = system.user.endpoints.iter().filter(|it| it.domain.as_str() == domain);
    Some(Taken { endpoints: inside.map(|it| it.name.clone()).collect(), at, back })
}

/// All connections between instances go dead, and one endpoint of each pool
/// takes calls without a word.
fn silence(system: &mut System) -> Option<Taken> {
    system.cluster.instances.iter().map(|it| &it.proxy).for_each(Proxy::blackhole_open);
    for name in one_of_each(system) {
        system.stand_ins.control(&name, &Control { unresponsive: true, ..Control::default() });
    }
    None
}

/// An instance that doesn't lead dies with an endpoint of the bottleneck. The
/// callers that it held are lost with it.
fn kill_both(system: &mut System) -> Option<Taken> {
    let victim = (system.cluster.leader() + 1) % system.cluster.instances.len();
    system.cluster.kill(victim);
    let pool = system.user.bottleneck();
    let name = system.user.endpoints_of(&pool)[0].name.clone();
    system
        .stand_ins
        .control(&name, &Control { fail: true, unresponsive: true, ..Control::default() });
    None
}

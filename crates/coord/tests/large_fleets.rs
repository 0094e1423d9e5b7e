//! What hundreds of instances cost their leader.

use {
    coord::{
        catalog::{Catalog, RelayRoute, RetryPolicy, Split},
        control::{
            Completion, Demand, Holding, LEASE_DURATION, LEASE_MARGIN, RenewError, RenewReply,
            RenewRequest, Token, Update, Voter,
        },
        ids::{
            Bytes, CatalogVersion, ChangeId, Generation, Incarnation, Index, NodeId, PoolName,
            Slots, Version,
        },
        limits::{LimitListUpdate, LimitRequest},
        load::{LoadSettings, LoadView},
        raft::{Config, ELECTION_TIMEOUT_MIN, Entry, HardState, LogOp, RestoredState},
        size::json_size,
        tables::{
            Change, Command, Edit, Endpoint, EndpointState, Member, Pool, PoolKind, Route, Stage,
        },
        time::{Millis, Time, WallTime},
    },
    indexmap::IndexSet,
    std::{fs, sync::Arc, time::Duration},
};

/// The leader's own number among the instances.
const LEADER: usize = 0;
const POOLS: usize = 5;
/// Simulated time per step, and of a message each way.
const STEP: Millis = Millis(5);
/// The share of a core that a control node has in the deployments.
const CORES: f64 = 0.6;

/// What the link of an instance that relays requests takes in a second, by the deployments.
const ENTRY_LINK: Bytes = Bytes(10_000_000 / 8);

/// The part of the election timeout that one step of a leader may take.
fn longest_step() -> Duration {
    Duration::from_secs_f64(ELECTION_TIMEOUT_MIN.0 as f64 / 1000.0 / 10.0 * CORES)
}

/// The time for which this thread has run on a processor.
fn thread_time() -> Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").expect("Linux reports it");
    let run = stat.split_whitespace().next().expect("the time on a processor comes first");
    Duration::from_nanos(run.parse().expect("it is a number"))
}

fn addr(number: usize) -> std::net::SocketAddr {
    ([10, 0, (number >> 8) as u8, number as u8], 7000).into()
}

fn pool(number: usize) -> PoolName {
    format!("pool{}", number % POOLS).parse().expect("a name")
}

fn member(number: usize) -> Command {
    Command::Join(Member {
        id: NodeId(number as u64 + 1),
        name: format!("n{number}").parse().expect("a name"),
        domain: format!("d{}", number % 5).parse().expect("a name"),
        peer: addr(number),
        relay: None,
        incarnation: Incarnation(1),
        disk: number == LEADER,
    })
}

fn endpoint(number: usize, generation: u64) -> Command {
    Command::Endpoint(Endpoint {
        name: format!("endpoint-{number}").parse().expect("a name"),
        pool: pool(number),
        domain: format!("d{}", number % 5).parse().expect("a name"),
        addr: addr(number),
        generation: Generation(generation),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(8),
        version: None,
    })
}

/// A change after which a route uses each pool.
fn routes() -> Command {
    let put_pool = |i| Edit::PutPool(Pool { name: pool(i), kind: PoolKind::Model });
    let put_route = |i| {
        let stage = Stage {
            name: "s".parse().expect("a name"),
            pool: pool(i),
            after: Vec::new(),
            effect: false,
        };
        let name = format!("route{i}").parse().expect("a name");
        Edit::PutRoute(Route { name, stages: vec![stage], deadline: Millis(1000) })
    };
    let edits = (0..POOLS).map(put_pool).chain((0..POOLS).map(put_route)).collect();
    Command::Change(Change {
        id: ChangeId::generate(),
        base: None,
        author: "test".to_owned(),
        at: WallTime(1),
        edits,
    })
}

/// A catalog with a route to each pool.
fn relay_routes() -> Command {
    let route = |i: usize| RelayRoute {
        name: format!("relayed{i}").parse().expect("a name"),
        host: "h".to_owned(),
        prefix: format!("/{i}/"),
        retry: RetryPolicy::Once,
        timeout: Millis(1000),
        latency_target: Millis(100),
        priority: 0,
        split: vec![Split { pool: pool(i), weight: 1 }],
        max_attempts: 1,
        stages: Vec::new(),
        public: true,
        sticky: false,
        event_gap: None,
    };
    let routes = (0..POOLS).map(route).collect();
    let catalog = Catalog { version: CatalogVersion(1), routes, ..Catalog::default() };
    Command::Catalog { catalog: Arc::new(catalog), document: "".into() }
}

/// An instance as its leader sees it.
#[derive(Default)]
struct Instance {
    seq: u64,
    applied: Index,
    grants: u64,
    held: Vec<Holding>,
    wants_holdings: bool,
    /// The number of the list of limits that it holds.
    limits: u64,
    replies: u64,
    /// The size of the updates that it has got.
    updates: Bytes,
    /// Whether the leader knows what it holds.
    is_known: bool,
    /// Whether its renewals get lost.
    is_silent: bool,
    /// For how long it was told to expect no share.
    shares_in: Option<Millis>,
    /// The instances that it was told to be of no use.
    cut: IndexSet<NodeId>,
    /// Whether it asks for shared load, and its view of it.
    shares_load: bool,
    load: LoadView,
    /// The size of what it was told of the load.
    load_size: Bytes,
    /// The size of what it reported of it.
    report_size: Bytes,
}

/// A leader that has just been elected, and instances that renew with it.
struct Fleet {
    voter: Voter,
    now: Time,
    instances: Vec<Instance>,
    /// The renewals that arrive with the next step.
    arriving: Vec<usize>,
    queued: u32,
    longest: Duration,
    total: Duration,
}

impl Fleet {
    /// A leader of `instances` instances and `endpoints` endpoints that none has reported to.
    fn new(instances: usize, endpoints: usize, with_routes: bool) -> Self {
        let (id, mut now) = (NodeId(1), Time(1));
        let mut voter = Voter::new(id, RestoredState::default(), now, 1);
        voter.raft_mut().bootstrap(Config::single(id, addr(LEADER)));
        let mut disk = Disk::default();
        elect(&mut voter, &mut now, &mut disk);
        let members = (0..instances).map(member);
        let announcements = (0..endpoints).map(|it| endpoint(it, 1));
        for command in members.chain(announcements).chain(with_routes.then(routes)) {
            voter.propose(now, Token(0), command);
            disk.sync(&mut voter, now);
        }
        let restored = RestoredState { hard: disk.hard, snapshot: None, entries: disk.entries };
        let mut voter = Voter::new(id, restored, now, 2);
        elect(&mut voter, &mut now, &mut Disk::default());
        let index = voter.applied();
        let row = || Instance { applied: index, ..Instance::default() };
        Self {
            voter,
            now,
            instances: (0..instances).map(|_| row()).collect(),
            arriving: (0..instances).collect(),
            queued: 0,
            longest: Duration::ZERO,
            total: Duration::ZERO,
        }
    }

    /// Turns shared load on, with two requests in flight of each instance but the ones of
    /// earlier builds, which come last.
    fn share_load(&mut self, earlier: usize) {
        self.propose(relay_routes());
        self.step();
        let settings = LoadSettings { wanted: true, ..LoadSettings::default() };
        let tables = &self.voter.state().tables;
        let names: Vec<_> = tables.endpoints.keys().cloned().collect();
        let count = self.instances.len() - earlier;
        for (node, it) in self.instances.iter_mut().enumerate().take(count) {
            it.load = LoadView::new(settings, node as u64);
            it.load.reload(tables);
            it.shares_load = true;
            for at in [node, 7 * node + 1] {
                it.load.begin(self.now, &names[at % names.len()], Generation(1));
            }
        }
        self.run(Millis(2000));
    }

    /// Runs until the leader knows what each instance holds.
    fn run_until_known(&mut self) {
        let end = self.now + Millis(2000);
        while !self.instances.iter().all(|it| it.is_known) {
            assert!(self.now < end, "not all instances have reported within 2 s");
            self.step();
        }
    }

    fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let instances = &self.instances;
        let sent: Vec<usize> =
            self.arriving.extract_if(.., |it| !instances[*it].is_silent).collect();
        for node in sent {
            let request = self.request(node);
            self.measure(|voter, now| voter.renew(now, Token(node as u64 + 1), request));
        }
        self.measure(|voter, now| voter.tick(now));
        Disk::default().sync(&mut self.voter, self.now);
        for it in self.voter.take_completions() {
            if let Completion::Renewal(token, result) = it {
                self.answer(token.0 as usize - 1, *result);
            }
        }
    }

    fn measure(&mut self, work: impl FnOnce(&mut Voter, Time)) {
        let start = thread_time();
        work(&mut self.voter, self.now);
        let took = thread_time().saturating_sub(start);
        self.longest = self.longest.max(took);
        self.total += took;
    }

    /// Proposes a command, which is committed with the next step.
    fn propose(&mut self, command: Command) {
        self.measure(|voter, now| voter.propose(now, Token(0), command));
    }

    fn answer(&mut self, node: usize, result: Result<RenewReply, RenewError>) {
        self.arriving.push(node);
        let it = &mut self.instances[node];
        let reply = result.expect("a leader answers");
        it.replies += 1;
        it.updates.0 += json_size(&reply.update).0;
        it.cut = reply.cut.clone();
        it.shares_in = reply.shares_in;
        it.is_known = !reply.want_holdings;
        it.load_size.0 += reply.load.as_ref().map_or(0, |it| json_size(it).0);
        it.load.apply(self.now, self.now, reply.load.as_ref());
        it.wants_holdings = reply.want_holdings;
        if let Some(LimitListUpdate::New(list)) = reply.limits.map(|it| it.list) {
            it.limits = list.number;
        }
        if !matches!(reply.update, Update::Same) {
            it.applied = reply.index;
        }
        if let Some(grants) = reply.grants.filter(|new| new.number > it.grants) {
            it.grants = grants.number;
            it.held = grants.shares;
        }
    }

    fn request(&mut self, node: usize) -> RenewRequest {
        let it = &mut self.instances[node];
        it.seq += 1;
        let load = it.shares_load.then(|| it.load.request(self.now));
        it.report_size.0 += load.as_ref().map_or(0, |it| json_size(it).0);
        let demand = |i| Demand { pool: pool(i), in_flight: 1, queued: self.queued };
        RenewRequest {
            node: NodeId(node as u64 + 1),
            incarnation: Incarnation(1),
            seq: it.seq,
            applied: it.applied,
            version: Version(0),
            grants_number: it.grants,
            excess: Vec::new(),
            holdings: it.wants_holdings.then(|| it.held.clone()),
            reports: Vec::new(),
            faults: Vec::new(),
            healthy: Vec::new(),
            demand: (0..POOLS).map(demand).collect(),
            teams: Vec::new(),
            crashes: Vec::new(),
            answered: Vec::new(),
            answered_pools: Vec::new(),
            limits: Some(LimitRequest { list: it.limits, ..LimitRequest::default() }),
            load,
            packed: true,
            packed_tables: true,
            cut: false,
            reads_rollouts: false,
            rollouts: Vec::new(),
            voters: None,
            leaving: false,
        }
    }

    /// The summed load of all endpoints as the status shows it.
    fn summed_load(&self) -> Option<u32> {
        let status = self.voter.status(self.now).expect("it leads");
        status.load_age?;
        status.endpoints.iter().map(|it| it.load).sum()
    }

    /// The most replies that an instance has got.
    fn most_replies(&self) -> u64 {
        self.instances.iter().map(|it| it.replies).max().unwrap_or_default()
    }
}

/// What a voter has written.
#[derive(Default)]
struct Disk {
    hard: HardState,
    entries: Vec<Entry>,
}

impl Disk {
    /// Makes all writes of a voter durable.
    fn sync(&mut self, voter: &mut Voter, now: Time) {
        while let Some(batch) = voter.raft_mut().take_batch() {
            for op in batch.ops {
                match op {
                    LogOp::Hard(hard) => self.hard = hard,
                    LogOp::Append(entry) => self.entries.push(entry),
                    LogOp::Truncate { .. } | LogOp::Snapshot(_) => {}
                }
            }
            voter.synced(now, batch.last);
        }
    }
}

fn elect(voter: &mut Voter, now: &mut Time, disk: &mut Disk) {
    while !voter.raft().has_committed_in_term() {
        *now = *now + Millis(10);
        voter.tick(*now);
        disk.sync(voter, *now);
    }
}

/// Returns the work for one renewal until each of `instances` instances has reported to a new
/// leader.
fn work_per_renewal(instances: usize, endpoints: usize) -> Duration {
    let mut fleet = Fleet::new(instances, endpoints, true);
    fleet.run_until_known();
    let renewals: u64 = fleet.instances.iter().map(|it| it.seq).sum();
    fleet.total / renewals as u32
}

#[test]
fn no_step_of_a_new_leader_takes_a_tenth_of_the_election_timeout() {
    for (instances, endpoints) in [(300, 319), (410, 630)] {
        let mut fleet = Fleet::new(instances, endpoints, true);

        fleet.run_until_known();
        fleet.run(Millis(1000));

        assert!(
            fleet.longest < longest_step(),
            "{:?} with {instances} instances and {endpoints} endpoints, allowed {:?}",
            fleet.longest,
            longest_step()
        );
    }
}

#[test]
fn a_new_leader_does_not_divide_shares_again_for_each_instance_that_reports() {
    for instances in [300, 410] {
        let mut fleet = Fleet::new(instances, 630, true);
        let start = fleet.now;

        fleet.run_until_known();

        let elapsed = fleet.now.since(start).0;
        let allowed = 20 + elapsed / 50;
        let allocations = fleet.voter.allocations();
        assert!(allocations <= allowed, "{allocations} allocations in {elapsed} ms");
    }
}

#[test]
fn instances_are_told_when_shares_come_that_wait_for_a_lost_instance() {
    let mut fleet = Fleet::new(4, 5, true);
    fleet.instances[3].is_silent = true;
    let lease = LEASE_DURATION + LEASE_MARGIN;

    fleet.run(Millis(lease.0 - 200));
    let before = fleet.instances[0].shares_in;
    fleet.run(Millis(800));
    let lost = fleet.instances[0].shares_in;
    fleet.run(Millis(1000));

    assert_eq!(before, None, "it may hold a lease, and report");
    let left = lost.expect("shares wait for it");
    assert!((1..1000).contains(&left.0), "the longest deadline is 1 s: {left}");
    assert_eq!(fleet.instances[0].shares_in, None);
}

#[test]
fn shares_are_not_divided_where_no_route_needs_them() {
    let mut fleet = Fleet::new(300, 319, false);

    fleet.run_until_known();
    fleet.run(Millis(1000));

    let held: usize = fleet.instances.iter().map(|it| it.held.len()).sum();
    assert_eq!(held, 0);
}

#[test]
fn a_renewal_costs_a_leader_the_same_however_many_instances_there_are() {
    let few = work_per_renewal(82, 630);
    let many = work_per_renewal(410, 630);

    assert!(many < 2 * few, "{few:?} with 82 instances, {many:?} with 410");
}

#[test]
fn shared_load_costs_a_leader_the_same_for_each_instance_and_little_of_its_links() {
    let mut costs = Vec::new();
    for (instances, endpoints) in [(83, 60), (83, 630), (410, 630)] {
        let mut fleet = Fleet::new(instances, endpoints, false);
        fleet.run_until_known();
        fleet.run(Millis(1000));
        fleet.share_load(0);
        let before: u64 = fleet.instances.iter().map(|it| it.seq).sum();
        for it in &mut fleet.instances {
            (it.load_size, it.report_size) = (Bytes(0), Bytes(0));
        }
        (fleet.total, fleet.longest) = (Duration::ZERO, Duration::ZERO);

        fleet.run(Millis(2000));

        let renewals = fleet.instances.iter().map(|it| it.seq).sum::<u64>() - before;
        let size = fleet.instances.iter().map(|it| it.load_size.0).max().unwrap_or_default() / 2;
        let sent = fleet.instances.iter().map(|it| it.report_size.0).max().unwrap_or_default() / 2;
        let cost = fleet.total / renewals as u32;
        println!(
            "{instances} instances, {endpoints} endpoints: {size} bytes a second to each, {sent} from \
             each, {cost:?} \
             for a renewal, longest step {:?}",
            fleet.longest
        );
        assert!(size < ENTRY_LINK.0 / 100, "{size} bytes a second");
        assert!(fleet.longest < longest_step(), "a step of {:?}", fleet.longest);
        assert!(fleet.instances.iter().all(|it| it.load.age(fleet.now).is_some()));
        costs.push(cost);
    }
    assert!(costs[2] < 2 * costs[1], "{costs:?}");
}

#[test]
fn instances_of_earlier_builds_get_nothing_and_stop_nothing_unless_they_are_the_most() {
    for (earlier, load) in [(9, Some(22)), (11, None)] {
        let mut fleet = Fleet::new(20, 10, false);
        fleet.run_until_known();

        fleet.share_load(earlier);

        assert_eq!(fleet.summed_load(), load);
        for (node, it) in fleet.instances.iter().enumerate() {
            let is_new = node < 20 - earlier;
            assert_eq!(it.load_size.0 > 0, is_new);
            assert_eq!(it.load.age(fleet.now).is_some(), is_new && load.is_some());
        }
    }
}

#[test]
fn requests_of_an_instance_that_dies_leave_the_sums_with_its_lease() {
    let mut fleet = Fleet::new(20, 10, false);
    fleet.run_until_known();
    fleet.share_load(0);

    fleet.instances[19].is_silent = true;
    fleet.run(Millis(1500));
    let before = fleet.summed_load();
    fleet.run(Millis(2000));

    assert_eq!((before, fleet.summed_load()), (Some(40), Some(38)));
}

#[test]
fn changes_in_quick_succession_reach_each_instance_together() {
    let mut fleet = Fleet::new(300, 319, false);
    fleet.run_until_known();
    fleet.run(Millis(1000));
    let before = fleet.most_replies();

    for change in 0..50 {
        fleet.propose(endpoint(change, 2));
        fleet.run(Millis(20));
    }
    let replies = fleet.most_replies() - before;
    fleet.run(Millis(600));

    assert!(replies <= 5, "{replies} replies to one instance in a second");
    let last = fleet.voter.applied();
    assert!(fleet.instances.iter().all(|it| it.applied == last), "all know the last change");
}

#[test]
fn endpoints_that_start_together_take_a_tenth_of_each_instances_link() {
    let mut fleet = Fleet::new(300, 10, false);
    fleet.run_until_known();
    fleet.run(Millis(1000));
    fleet.instances.iter_mut().for_each(|it| it.updates = Bytes(0));

    for batch in 0..1000 {
        (0..3).for_each(|it| fleet.propose(endpoint(3 * batch + it, 2)));
        fleet.run(STEP);
    }
    fleet.run(Millis(1000));

    let last = fleet.voter.applied();
    assert!(fleet.instances.iter().all(|it| it.applied == last), "all know the last endpoint");
    let most = fleet.instances.iter().map(|it| it.updates.0).max().unwrap_or_default();
    assert!(most <= ENTRY_LINK.0 * 5 / 10, "{most} bytes in 5 s");
}

#[test]
fn a_change_after_a_quiet_time_is_told_at_once() {
    let mut fleet = Fleet::new(410, 630, false);
    fleet.run_until_known();
    fleet.run(Millis(2000));

    fleet.propose(endpoint(1, 2));
    let last = fleet.voter.raft().last_index();
    fleet.run(Millis(20));

    assert!(fleet.instances.iter().all(|it| it.applied == last));
}

#[test]
fn all_are_told_of_instances_that_fall_silent_and_of_their_return() {
    let mut fleet = Fleet::new(300, 319, false);
    fleet.run_until_known();
    fleet.run(Millis(1000));
    let silent: IndexSet<NodeId> = (100..150).map(|it| NodeId(it + 1)).collect();

    (100..150).for_each(|it| fleet.instances[it].is_silent = true);
    fleet.run(Millis(1800));
    let told = fleet.instances.iter().filter(|it| !it.is_silent && it.cut == silent).count();
    (100..150).for_each(|it| fleet.instances[it].is_silent = false);
    fleet.run(Millis(1000));

    assert_eq!(told, 250);
    assert!(fleet.instances.iter().all(|it| it.cut.is_empty()));
}

#[test]
fn an_instance_that_returns_as_another_member_is_not_listed_as_silent() {
    let mut fleet = Fleet::new(300, 319, false);
    fleet.run_until_known();
    fleet.run(Millis(1000));

    // Instance 100 is gone, and is back under the id that number 300 would have.
    fleet.instances[100].is_silent = true;
    let Command::Join(old) = member(100) else { unreachable!("it joins") };
    fleet.propose(Command::Join(Member { id: NodeId(301), ..old }));
    fleet.run(STEP);
    let applied = fleet.instances[0].applied;
    fleet.instances.push(Instance { applied, ..Instance::default() });
    fleet.arriving.push(300);
    fleet.run(Millis(1800));

    let listed = fleet.instances.iter().filter(|it| !it.is_silent && !it.cut.is_empty()).count();
    assert_eq!(listed, 0);
}

#[test]
fn a_leader_that_hears_of_nearly_none_takes_itself_for_cut_off() {
    let mut fleet = Fleet::new(300, 319, false);
    fleet.run_until_known();
    fleet.run(Millis(1000));

    (1..290).for_each(|it| fleet.instances[it].is_silent = true);
    fleet.run(Millis(1800));

    assert!(fleet.instances.iter().all(|it| it.cut.is_empty()));
}

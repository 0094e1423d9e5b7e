//! Endpoints that deregister at instances whose copies of the tables lag behind.

use {
    coord::{
        control::{Departure, DeregistrationStep, Deregistrations},
        ids::{EndpointName, Generation, Index, Slots},
        tables::{Command, Endpoint, EndpointState, Outcome, State, Tables},
        time::{Millis, Time},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const SEEDS: u64 = 1000;
const INSTANCES: usize = 4;
const ENDPOINTS: u64 = 6;
const STEP: Millis = Millis(10);

fn name(number: u64) -> EndpointName {
    format!("e{number}").parse().expect("a name")
}

fn endpoint(number: u64, generation: u64) -> Endpoint {
    Endpoint {
        name: name(number),
        pool: "p".parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        addr: ([127, 0, 0, 1], 1).into(),
        generation: Generation(generation),
        state: EndpointState::Warm,
        slots: Slots(8),
        cold_slots: Slots(1),
        version: None,
    }
}

fn departure(number: u64, generation: Option<u64>) -> Departure {
    Departure { name: name(number), generation: generation.map(Generation) }
}

fn is_live(tables: &Tables, number: u64, generation: u64) -> bool {
    let row = tables.endpoints.get(&name(number));
    row.is_some_and(|it| it.generation.0 <= generation && it.state != EndpointState::Leaving)
}

/// An instance with a copy of the tables as of some time.
struct Instance {
    copy: Tables,
    deregistrations: Deregistrations<Ticket>,
}

/// An endpoint's number and the generation that deregisters.
type Ticket = (u64, u64);

/// Instances that follow the leader's state with a lag.
struct System {
    state: State,
    index: Index,
    instances: Vec<Instance>,
    generations: [u64; ENDPOINTS as usize],
    /// The deregistrations that were acknowledged.
    done: u64,
}

impl System {
    fn new() -> Self {
        let instance =
            || Instance { copy: Tables::default(), deregistrations: Deregistrations::default() };
        Self {
            state: State::default(),
            index: Index(0),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            generations: [0; ENDPOINTS as usize],
            done: 0,
        }
    }

    fn commit(&mut self, row: Endpoint) -> Outcome {
        self.index = self.index.next();
        self.state.apply(self.index, &Command::Endpoint(row)).outcome
    }

    /// Starts an endpoint anew.
    fn announce(&mut self, number: u64) {
        self.generations[number as usize] += 1;
        self.commit(endpoint(number, self.generations[number as usize]));
    }

    fn deregister(&mut self, now: Time, at: usize, number: u64) {
        let ticket = (number, self.generations[number as usize]);
        let it = &mut self.instances[at];
        let unnamed = departure(number, None);
        if let Some((row, ticket)) = it.deregistrations.begin(now, &unnamed, &it.copy, ticket) {
            self.propose(now, at, row, ticket);
        }
    }

    fn propose(&mut self, now: Time, at: usize, row: Endpoint, ticket: Ticket) {
        match self.commit(row) {
            Outcome::Stale => {
                self.instances[at].deregistrations.wait(now, departure(ticket.0, None), ticket);
            }
            _ => self.acknowledge(ticket),
        }
    }

    fn acknowledge(&mut self, (number, generation): Ticket) {
        self.done += 1;
        assert!(
            !is_live(&self.state.tables, number, generation),
            "endpoint {number} is told that it is out, and gets requests"
        );
    }

    /// Brings an instance's copy to all that was committed by now.
    fn refresh(&mut self, now: Time, at: usize) {
        let it = &mut self.instances[at];
        it.copy = self.state.tables.clone();
        for step in it.deregistrations.refresh(now, &it.copy) {
            match step {
                DeregistrationStep::Propose(_, row, ticket) => self.propose(now, at, row, ticket),
                DeregistrationStep::Done(ticket) => self.acknowledge(ticket),
            }
        }
    }
}

#[test]
fn an_endpoint_that_deregisters_right_after_its_start_gets_nothing_afterwards() {
    let mut system = System::new();
    system.announce(0);

    system.deregister(Time(10), 1, 0);
    assert_eq!(system.done, 0, "the copy can't know");
    system.refresh(Time(20), 1);

    assert_eq!(system.done, 1);
    assert!(!is_live(&system.state.tables, 0, 1));
}

#[test]
fn an_acknowledged_deregistration_is_in_force_however_far_copies_lag_behind() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut system = System::new();
        let mut sent = 0;
        for step in 1..200 {
            let now = Time(step * STEP.0);
            let number = rng.random_range(0..ENDPOINTS);
            let at = rng.random_range(0..INSTANCES);
            match rng.random_range(0..4) {
                0 => system.announce(number),
                1 => {
                    system.deregister(now, at, number);
                    sent += 1;
                }
                _ => system.refresh(now, at),
            }
        }
        let end = Time(200 * STEP.0);
        (0..INSTANCES).for_each(|it| system.refresh(end, it));
        (0..INSTANCES).for_each(|it| system.refresh(end, it));

        assert_eq!(system.done, sent, "seed {seed}: each is acknowledged in the end");
    }
}

#[test]
fn an_instance_that_gets_no_copy_gives_a_deregistration_up() {
    let mut deregistrations = Deregistrations::default();
    deregistrations.begin(Time(10), &departure(1, None), &Tables::default(), 7);

    let early = deregistrations.expire(Time(2000));
    let late = deregistrations.expire(Time(3010));

    assert_eq!((early, late), (vec![], vec![7]));
    assert!(deregistrations.is_empty());
}

/// Guards against a deregistration that is under way while its endpoint starts again under its
/// name, and takes the new start out of service.
#[test]
fn a_late_deregistration_leaves_a_later_start_in_service() {
    let mut system = System::new();
    system.announce(0);
    system.announce(0);
    let it = &mut system.instances[0];

    for copy in [Tables::default(), system.state.tables.clone()] {
        let late = it.deregistrations.begin(Time(10), &departure(0, Some(1)), &copy, (0, 1));
        assert_eq!(late, None);
    }
    let steps = it.deregistrations.refresh(Time(20), &system.state.tables);

    assert_eq!(steps, [DeregistrationStep::Done((0, 1)), DeregistrationStep::Done((0, 1))]);
    assert!(is_live(&system.state.tables, 0, 2));
}

/// A deregistration that overtakes the announcement of its start takes out that start too.
#[test]
fn a_start_that_deregisters_before_it_is_announced_is_not_registered_any_more() {
    let mut system = System::new();
    system.announce(0);
    let it = &mut system.instances[0];

    let begun =
        it.deregistrations.begin(Time(10), &departure(0, Some(2)), &system.state.tables, (0, 2));
    let (row, _) = begun.expect("an earlier start is registered");
    system.commit(row);

    assert_eq!(system.commit(endpoint(0, 2)), Outcome::Stale);
    assert!(!is_live(&system.state.tables, 0, 2));
}

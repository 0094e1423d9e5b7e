//! Planned stops and restarts under load.

mod fixture;

use {
    coord::{
        catalog::RetryPolicy,
        ids::Slots,
        router::{Outcome, Reason},
        wire::{CallerError, CallerRequest},
    },
    fixture::{System, endpoint_spec, new_request, start_system, start_system_with},
    harness::{
        Caller, CallerResult, ClusterSpec, LONG_TIMEOUT, connect, relay_catalog, relay_endpoint,
        relay_request, relay_route, wait_until,
    },
    standin::{EndpointSpec, ScriptedEndpoint, Step, signed_response},
    std::{
        io::{Read, Write},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const SIGTERM: i32 = 15;
/// The least number of answers for each restart.
const MIN_ANSWERS_PER_RESTART: usize = 60;
/// How often the load balancer checks readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Load through a load balancer, which sends requests only to the instances that were
/// ready at its latest check.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<CallerResult>>>,
}

impl Load {
    fn start(callers: Vec<Caller>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(Vec::new()));
        let ready: Arc<Vec<AtomicBool>> =
            Arc::new(callers.iter().map(|_| AtomicBool::new(true)).collect());
        let mut threads = Vec::new();
        for (i, caller) in callers.iter().enumerate() {
            let (caller, ready, stop) = (caller.clone(), ready.clone(), stop.clone());
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    ready[i].store(caller.is_ready(), Ordering::Relaxed);
                    thread::sleep(READY_POLL_INTERVAL);
                }
            }));
        }
        for worker in 0..6 {
            let (callers, ready) = (callers.clone(), ready.clone());
            let (stop, answers) = (stop.clone(), answers.clone());
            threads.push(thread::spawn(move || {
                let mut number: usize = worker;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let target = number % callers.len();
                    if !ready[target].load(Ordering::Relaxed) {
                        continue;
                    }
                    let answer = callers[target].send(&next_request(number));
                    answers.lock().expect("lock poisoned").push(answer);
                    thread::sleep(Duration::from_millis(15));
                }
            }));
        }
        Self { stop, threads, answers }
    }

    /// The number of answers so far.
    fn answered(&self) -> usize {
        self.answers.lock().expect("lock poisoned").len()
    }

    fn finish(self) -> Vec<CallerResult> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|it| it.join().expect("the thread doesn't panic"));
        std::mem::take(&mut *self.answers.lock().expect("lock poisoned"))
    }
}

fn next_request(number: usize) -> CallerRequest {
    match number % 5 {
        0 => new_request("deposit", &format!("{number}")),
        _ => new_request("notes", "a history"),
    }
}

fn callers(system: &System) -> Vec<Caller> {
    system.cluster.daemons().map(|it| it.caller()).collect()
}

/// A planned stop must not interrupt the requests that the instance has accepted.
#[test]
fn a_stopping_instance_completes_its_requests_and_exits_with_success() {
    let mut system = start_system(3, 0);
    let leader = system.cluster.leader();
    let caller = system.cluster.daemon(leader).caller();
    let requests: Vec<_> = (0..6)
        .map(|_| {
            let caller = caller.clone();
            thread::spawn(move || caller.stream(&new_request("notes", "a history")))
        })
        .collect();
    wait_until("the requests are in progress", LONG_TIMEOUT, || {
        let metrics = system.cluster.daemon(leader).operator().metrics();
        metrics.lines().any(|it| it.starts_with("mangobend_requests_held ") && !it.ends_with(" 0"))
            || requests.iter().all(JoinHandle::is_finished)
    });

    system.cluster.daemon(leader).proc.signal(SIGTERM);
    wait_until("the instance is not ready", LONG_TIMEOUT, || !caller.is_ready());
    let results = requests.into_iter().map(|it| it.join().expect("the thread doesn't panic"));

    for streamed in results {
        assert!(streamed.end.complete().is_some(), "interrupted: {:?}", streamed.end);
    }
    let daemon =
        system.cluster.instances[leader].daemon.as_mut().expect("the instance was started");
    let status = daemon.proc.wait(LONG_TIMEOUT).expect("the daemon exits");
    assert!(status.success(), "{status:?}");
}

/// Callers whose requests outlast a stop must not find their connections closed.
#[test]
fn requests_that_outlast_a_stop_are_answered_before_its_end() {
    let args = ["--stop-bound", "2000", "--stop-notice", "200"].map(ToOwned::to_owned).to_vec();
    let spec = ClusterSpec { args, ..ClusterSpec::new(1, 0) };
    let slow = EndpointSpec {
        slots: Slots(1),
        cold_slots: Slots(1),
        base_ms: 20_000,
        ..endpoint_spec("encode", "north", 0)
    };
    let mut system = start_system_with(spec, &[slow]);
    let caller = system.cluster.daemon(0).caller();
    let requests: Vec<_> = (0..3)
        .map(|_| {
            let caller = caller.clone();
            thread::spawn(move || caller.stream(&new_request("notes", "a history")).end)
        })
        .collect();
    wait_until("one request is sent and two are queued", LONG_TIMEOUT, || {
        let metrics = system.cluster.daemon(0).operator().metrics();
        metrics.lines().any(|it| it == "mangobend_requests_held 3")
            && !system.stand_ins.records()[0].1.runs.is_empty()
    });

    system.cluster.daemon(0).proc.signal(SIGTERM);
    let ends = requests.into_iter().map(|it| it.join().expect("the thread doesn't panic"));

    let ends: Vec<CallerResult> = ends.collect();
    let failures: Vec<&CallerError> = ends.iter().filter_map(CallerResult::failure).collect();
    assert_eq!(failures.len(), 3, "{ends:?}");
    assert!(failures.iter().all(|it| it.reason == Reason::Stopping), "{failures:?}");
    let not_run = failures.iter().filter(|it| it.outcome == Outcome::NotRun).count();
    assert_eq!(not_run, 2, "{failures:?}");
    let daemon = system.cluster.instances[0].daemon.as_mut().expect("the instance was started");
    let status = daemon.proc.wait(LONG_TIMEOUT).expect("the daemon exits");
    assert!(status.success(), "{status:?}");
}

/// Without a transfer the others would wait for an election and could lose their leases.
#[test]
fn a_stopping_leader_transfers_leadership_at_once() {
    let system = start_system(3, 0);
    let leader = system.cluster.leader();
    let other = system.cluster.daemon((leader + 1) % 3).operator();

    system.cluster.daemon(leader).proc.signal(SIGTERM);
    wait_until("another leads", LONG_TIMEOUT, || {
        other.status().is_ok_and(|it| {
            it.members.iter().any(|m| m.id == it.leader && m.name.as_str() != format!("i{leader}"))
        })
    });

    for i in (0..3).filter(|it| *it != leader) {
        assert!(system.cluster.daemon(i).caller().is_ready(), "instance {i} lost its lease");
    }
}

/// Requests are lost if an instance closes its listener or drops its lease before the
/// load balancer has noticed that it isn't ready.
#[test]
fn a_restart_of_all_instances_one_by_one_cuts_off_no_request() {
    let mut system = start_system(3, 1);
    let load = Load::start(callers(&system));

    for i in 0..4 {
        system.cluster.daemon(i).proc.signal(SIGTERM);
        let instance = &mut system.cluster.instances[i];
        let status = instance.daemon.as_mut().expect("the instance runs").proc.wait(LONG_TIMEOUT);
        assert!(status.is_some_and(|it| it.success()), "instance {i} exited with {status:?}");
        instance.daemon = None;
        system.cluster.start(i);
        system.cluster.daemon(i).wait_ready(LONG_TIMEOUT);
        wait_until("there is load", LONG_TIMEOUT, || {
            load.answered() >= (i + 1) * MIN_ANSWERS_PER_RESTART
        });
    }
    let answers = load.finish();

    let incomplete: Vec<_> = answers.iter().filter(|it| it.complete().is_none()).collect();
    assert!(answers.len() > 200, "too few answers: {}", answers.len());
    assert!(
        incomplete.is_empty(),
        "{} of {} incomplete: {:?}",
        incomplete.len(),
        answers.len(),
        incomplete[0]
    );
}

#[test]
fn a_stop_at_its_time_limit_warns_once_and_counts_relayed_requests() {
    let args = ["--relay-listen", "127.0.0.1:0", "--stop-bound", "1000"];
    let args = args.map(ToOwned::to_owned).to_vec();
    let mut cluster = ClusterSpec { args, ..ClusterSpec::new(1, 0) }.start();
    let catalog = relay_catalog(relay_route(RetryPolicy::Stream));
    let posted = cluster.operator().post::<serde_json::Value>("/v1/catalog", &catalog);
    posted.expect("the catalog is accepted");
    let backend = ScriptedEndpoint::start(Box::new(|seen, _| {
        let part = signed_response(seen, "200 OK", "content-length: 9\r\n", "part");
        vec![Step::Send(part), Step::Wait(Duration::from_secs(20))]
    }));
    let relay = cluster.daemon(0).relay_addr();
    let mut stream = connect(relay);
    wait_until("a stream has started", LONG_TIMEOUT, || {
        cluster.daemon(0).announce(&relay_endpoint("e", "app", backend.addr));
        stream = connect(relay);
        let sent = stream.write_all(relay_request("id", "", "").as_bytes());
        let mut start = [0; 12];
        sent.and_then(|()| stream.read_exact(&mut start)).is_ok() && start.ends_with(b"200")
    });

    cluster.daemon(0).proc.signal(SIGTERM);
    let daemon = cluster.instances[0].daemon.as_mut().expect("the instance was started");
    let status = daemon.proc.wait(LONG_TIMEOUT).expect("the daemon exits");

    let path = cluster.instances[0].spec.log.as_ref().expect("the daemon has a log");
    let log = std::fs::read_to_string(path).expect("the log can be read");
    let warnings: Vec<&str> = log.lines().filter(|it| it.contains("time limit")).collect();
    assert!(status.success(), "{status:?}");
    assert_eq!(warnings.len(), 1, "{warnings:?}");
    assert!(warnings[0].contains("with 1 request"), "{warnings:?}");
}

//! What callers get while instances are stopped and started again: each request that was sent
//! whole is answered, and a refused one hasn't run.
//!
//! `MANGOBEND_STOP_SEEDS=3,4,5` sets the seeds of the moments.

mod relayed_load;
mod stopping;

use {
    coord::tables::{Edit, Target},
    harness::{
        Exchange, KeptCaller, LONG_TIMEOUT, RawResponse, connect, read_response, wait_until,
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
    relayed_load::{Load, LoadSpec, Route, request_text},
    standin::{ScriptedEndpoint, Step, signed_response},
    std::{
        env,
        io::Write,
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
    stopping::{ENTRIES, NOTICE, Stop, System, check_exchanges},
};

const SIGKILL: i32 = 9;
/// The seeds of the moments of stops if `MANGOBEND_STOP_SEEDS` sets none.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
/// Stages of a submitter that was killed are not called any more after this time.
const FORGOTTEN: Duration = Duration::from_secs(3);
/// A body that is larger than the buffers of a connection.
const LARGE_BODY: usize = 4_000_000;
/// That of a caller that takes an answer slowly.
const RECV_BUFFER: usize = 16 << 10;
/// How long a slow caller reads nothing: until after the last answers of others, and less than
/// a stop takes.
const READ_PAUSE: Duration = Duration::from_millis(1500);

fn seeds() -> Vec<u64> {
    let Ok(text) = env::var("MANGOBEND_STOP_SEEDS") else {
        return DEFAULT_SEEDS.to_vec();
    };
    text.split(',').map(|it| it.parse().expect("MANGOBEND_STOP_SEEDS takes numbers")).collect()
}

/// A load under which requests with stages wait for each other.
fn full_load(seed: u64) -> LoadSpec {
    LoadSpec {
        seed,
        callers: vec![(Route::Staged, 24), (Route::Plain, 8), (Route::Stream, 12)],
        max_gap: Duration::from_millis(40),
        max_deadline: 8000,
        max_stream: 3500,
    }
}

#[test]
fn each_request_is_answered_while_instances_are_stopped_one_after_the_other() {
    let mut system = System::start(Duration::from_millis(100));
    for seed in seeds() {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut order = ENTRIES;
        order.shuffle(&mut rng);
        let load = Load::start(&full_load(seed), &system.relay_addrs());
        thread::sleep(Duration::from_millis(rng.random_range(300..900)));
        let out = rng.random_bool(0.5);
        if out {
            system.edit(&Edit::TakeOut(Target::Domain("d1".parse().expect("a name"))));
        }

        let gap = Duration::from_millis(rng.random_range(0..1200));
        let mut stops = system.stop(&order[..2], gap);
        system.start_again(&order[..2]);
        thread::sleep(Duration::from_millis(rng.random_range(0..500)));
        stops.extend(system.stop(&order[2..], Duration::ZERO));
        system.start_again(&order[2..]);
        if out {
            system.edit(&Edit::BringBack(Target::Domain("d1".parse().expect("a name"))));
        }
        let exchanges = load.finish();

        let findings = check_exchanges(&system, &exchanges, &stops);
        assert!(findings.is_empty(), "seed {seed}:\n{}", findings.join("\n"));
        assert_loaded(&exchanges);
    }
}

/// Checks that requests of all routes were served.
fn assert_loaded(exchanges: &[Exchange]) {
    for route in Route::ALL {
        let of_route = exchanges.iter().filter(|it| it.id.starts_with(route.name()));
        let served = of_route.clone().filter(|it| it.response.status == 200).count();
        assert!(served >= 20, "{}: {served} of {} served", route.name(), of_route.count());
    }
}

#[test]
fn requests_whose_stages_a_stopping_instance_gathers_are_answered() {
    let mut system = System::start(Duration::from_millis(100));
    let gatherer = system.gatherer();
    let mut addrs = system.relay_addrs();
    addrs.remove(gatherer);
    let load = Load::start(&full_load(7), &addrs);
    thread::sleep(Duration::from_millis(800));

    let stops = system.stop(&[gatherer], Duration::ZERO);
    thread::sleep(Duration::from_millis(500));
    let mut exchanges = load.finish();
    // Its callers count without the one that gathers.
    exchanges.iter_mut().filter(|it| it.instance >= gatherer).for_each(|it| it.instance += 1);

    let findings = check_exchanges(&system, &exchanges, &stops);
    assert!(findings.is_empty(), "{}", findings.join("\n"));
    assert_loaded(&exchanges);
}

/// Guards against queues that keep the pieces of a submitter that is gone.
#[test]
fn stages_of_a_submitter_that_was_killed_are_forgotten() {
    let mut system = System::start(Duration::from_millis(600));
    let gatherer = system.gatherer();
    let submitter = ENTRIES.into_iter().find(|it| *it != gatherer).expect("there are others");
    let addr = system.cluster.daemon(submitter).relay_addr();
    let callers: Vec<TcpStream> = (0..24)
        .map(|number| {
            let mut stream = connect(addr);
            let text = request_text(Route::Staged, &format!("dead-{number}"), 15_000, 4);
            stream.write_all(text.as_bytes()).expect("the request is sent");
            stream
        })
        .collect();
    wait_until("its stages are called", LONG_TIMEOUT, || {
        !system.endpoints.called("dead-").is_empty()
    });

    system.cluster.daemon(submitter).proc.signal(SIGKILL);
    let killed = Instant::now();
    let others = [0, gatherer];
    let exchanges: Vec<_> = (0..4)
        .filter_map(|number| {
            let id = format!("staged-alive-{number}");
            let mut caller = KeptCaller::new(&system.relay_addrs(), false);
            caller.send(others[number % 2], &id, &request_text(Route::Staged, &id, 15_000, 1))
        })
        .collect();
    thread::sleep((killed + FORGOTTEN * 2).saturating_duration_since(Instant::now()));

    drop(callers);
    system.cluster.kill(submitter);
    let late =
        system.endpoints.called("dead-").iter().filter(|it| **it > killed + FORGOTTEN).count();
    let served = exchanges.iter().filter(|it| it.response.status == 200).count();
    assert_eq!(served, 4, "{exchanges:?}");
    assert_eq!(late, 0, "pieces were called {FORGOTTEN:?} after their submitter was killed");
}

#[test]
fn an_answer_that_its_caller_takes_slowly_arrives_whole_before_a_stop_ends() {
    let large = ScriptedEndpoint::start(Box::new(|seen, _| {
        let head = format!("content-length: {LARGE_BODY}\r\n");
        vec![Step::Send(signed_response(seen, "200 OK", &head, &"a".repeat(LARGE_BODY)))]
    }));
    let mut system = System::start_with_plain(large);
    let mut stream = connect(system.cluster.daemon(1).relay_addr());
    let socket = socket2::SockRef::from(&stream);
    socket.set_recv_buffer_size(RECV_BUFFER).expect("the buffer can be set");
    let text = request_text(Route::Plain, "plain-large", 5000, 1);
    stream.write_all(text.as_bytes()).expect("the request is sent");
    stream.peek(&mut [0]).expect("the answer begins");

    let reader = thread::spawn(move || {
        thread::sleep(READ_PAUSE);
        read_response(&mut stream)
    });
    let stops = system.stop(&[1], Duration::ZERO);
    let got = reader.join().expect("the reader doesn't panic");

    assert_eq!((got.status, got.body.len(), got.complete), (200, LARGE_BODY, true));
    stops.iter().for_each(Stop::assert_in_time);
}

/// Returns the answer to a request on a connection that may be closed, and whether that was
/// so before any byte of an answer.
fn try_on(stream: &mut TcpStream, id: &str) -> (RawResponse, bool) {
    // An error shows as the end of the connection.
    let _ = stream.write_all(request_text(Route::Plain, id, 2000, 1).as_bytes());
    let got = read_response(stream);
    let closed = got.status == 0 && got.body.is_empty();
    (got, closed)
}

#[test]
fn kept_connections_are_served_in_the_notice_time_and_refused_truly_afterwards() {
    let slow = ScriptedEndpoint::start(Box::new(|seen, _| {
        let is_slow = seen.header("mangobend-request").is_some_and(|it| it.ends_with("slow"));
        let time = Duration::from_millis(if is_slow { 1500 } else { 5 });
        let answer = signed_response(seen, "200 OK", "content-length: 4\r\n", "fine");
        vec![Step::Wait(time), Step::Send(answer)]
    }));
    let mut system = System::start_with_plain(slow);
    let addr = system.cluster.daemon(1).relay_addr();
    let mut kept: Vec<TcpStream> = (0..3).map(|_| connect(addr)).collect();
    for (number, stream) in kept.iter_mut().enumerate() {
        assert_eq!(try_on(stream, &format!("plain-warm-{number}")).0.status, 200);
    }
    let mut waiting = connect(addr);
    let text = request_text(Route::Plain, "plain-slow", 5000, 1);
    waiting.write_all(text.as_bytes()).expect("the request is sent");
    wait_until("it runs", LONG_TIMEOUT, || system.endpoints.ran("plain-slow") == 1);

    let asking = thread::spawn(move || {
        thread::sleep(NOTICE / 2);
        let in_notice = try_on(&mut kept[0], "plain-notice").0;
        thread::sleep(NOTICE);
        let late =
            [try_on(&mut kept[1], "plain-late-1"), try_on(&mut connect(addr), "plain-late-2")];
        (in_notice, late, read_response(&mut waiting))
    });
    let stops = system.stop(&[1], Duration::ZERO);
    let (in_notice, late, slow) = asking.join().expect("the thread doesn't panic");

    assert_eq!(in_notice.status, 200, "{in_notice:?}");
    assert_eq!(in_notice.header("connection"), Some("close"));
    assert_eq!((slow.status, slow.complete), (200, true));
    for (got, closed) in &late {
        assert!(*closed || (got.status == 503 && got.complete), "{got:?}");
    }
    assert_eq!(system.endpoints.ran("plain-late-1") + system.endpoints.ran("plain-late-2"), 0);
    stops.iter().for_each(Stop::assert_in_time);
}

//! How streamed answers to callers end.

use {
    coord::{
        ids::RequestId,
        memory::MemoryUse,
        router::{Failure, Finish, Outcome, Reason},
    },
    daemon::{
        callers::{CallerContext, CallerReply, serve},
        event::{Event, Inbox},
        memory::{Memory, MemorySettings},
        relay::{DrainPhase, DrainState},
    },
    harness::{RawResponse, connect, exchange, read_response},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::{Arc, atomic::AtomicBool, mpsc::sync_channel},
        thread,
        time::{Duration, Instant},
    },
};

/// Starts a callers' listener before a core loop that sends these replies to each
/// request and then drops it.
fn start(replies: impl Fn(RequestId) -> Vec<CallerReply> + Send + 'static) -> SocketAddr {
    start_stoppable(replies).0
}

/// The same, with the state of its graceful shutdown.
fn start_stoppable(
    replies: impl Fn(RequestId) -> Vec<CallerReply> + Send + 'static,
) -> (SocketAddr, Arc<DrainState>) {
    let drain = Arc::new(DrainState::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let (sender, events) = sync_channel(16);
    let context = CallerContext {
        memory: Memory::new(MemorySettings::default(), MemoryUse::default()),
        inbox: Inbox::new(sender),
        max_body: 1024,
        max_connections: 16,
        ready: Arc::new(AtomicBool::new(true)),
        drain: drain.clone(),
    };
    thread::spawn(move || {
        for event in events {
            if let Event::Submit { submission, reply } = event {
                replies(submission.id).into_iter().for_each(|it| drop(reply.send(it)));
            }
        }
    });
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("the runtime starts").block_on(serve(listener, context));
    });
    (addr, drain)
}

fn piece(number: u32) -> CallerReply {
    CallerReply::Piece { number, data: "text".to_owned() }
}

fn finish() -> CallerReply {
    CallerReply::Finish(Box::new(Finish {
        result: Ok("text".to_owned()),
        stages: Vec::new(),
        stored: false,
    }))
}

fn failure(outcome: Outcome) -> CallerReply {
    let failure = Failure { outcome, ..Failure::not_run(Reason::Stopping, "text") };
    CallerReply::Finish(Box::new(Finish {
        result: Err(failure),
        stages: Vec::new(),
        stored: false,
    }))
}

fn request(version: &str) -> String {
    request_of(version, true)
}

fn request_of(version: &str, is_stream: bool) -> String {
    let fields = r#""route":"r","team":"t","class":"interactive","deadline_ms":1000,"input":"""#;
    let body = format!("{{{fields},\"stream\":{is_stream}}}");
    format!(
        "POST /v1/requests {version}\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn stream(addr: SocketAddr, version: &str) -> RawResponse {
    exchange(&mut connect(addr), &request(version))
}

#[test]
fn a_finished_stream_is_complete() {
    let addr = start(|_| vec![piece(0), finish()]);

    let got = ["HTTP/1.1", "HTTP/1.0"].map(|it| stream(addr, it));

    assert!(got.iter().all(|it| it.complete && it.text().contains("done")), "{got:?}");
}

#[test]
fn a_stream_that_the_core_loop_drops_is_never_ended_as_complete() {
    let addr = start(|_| vec![piece(0)]);

    let got = stream(addr, "HTTP/1.1");

    assert_eq!(got.status, 200);
    assert!(!got.complete, "{}", got.text());
}

#[test]
fn a_cut_stream_is_reset_for_a_caller_without_chunks() {
    let addr = start(|_| vec![piece(0)]);

    let got = stream(addr, "HTTP/1.0");

    assert!(!got.complete, "{}", got.text());
}

#[test]
fn a_connection_that_fails_before_its_first_request_is_not_reset() {
    let addr = start(|_| Vec::new());
    let mut stream = connect(addr);
    stream.write_all(b"no request\r\n\r\n").expect("the listener reads");

    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);

    let text = String::from_utf8_lossy(&answer);
    assert!(ended.is_ok(), "{ended:?}");
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
}

#[test]
fn a_connection_without_a_request_is_closed_when_a_stop_refuses_new_requests() {
    let (addr, drain) = start_stoppable(|_| vec![finish()]);
    let mut kept = connect(addr);
    assert_eq!(exchange(&mut kept, &request("HTTP/1.1")).status, 200);

    let began = Instant::now();
    drain.enter(DrainPhase::Closed);
    let ended = kept.read(&mut [0; 1]);

    assert!(matches!(ended, Ok(0)), "{ended:?}");
    assert!(began.elapsed() < Duration::from_secs(1), "took {:?}", began.elapsed());
}

#[test]
fn an_answer_during_a_stop_tells_its_caller_to_use_another_connection() {
    let (addr, drain) = start_stoppable(|_| vec![finish()]);
    let mut kept = connect(addr);
    let before = exchange(&mut kept, &request("HTTP/1.1"));

    drain.enter(DrainPhase::Leaving);
    let after = exchange(&mut kept, &request("HTTP/1.1"));

    assert_eq!(before.header("connection"), None);
    assert_eq!((after.status, after.header("connection")), (200, Some("close")));
    assert!(after.complete);
}

#[test]
fn a_request_whose_body_is_unread_when_a_stop_refuses_new_ones_is_refused_at_once() {
    let (addr, drain) = start_stoppable(|_| vec![finish()]);
    let text = request("HTTP/1.1");
    let mut waiting = connect(addr);
    waiting.write_all(&text.as_bytes()[..text.len() - 2]).expect("the listener reads");

    drain.enter(DrainPhase::Closed);
    let got = read_response(&mut waiting);

    assert_eq!((got.status, got.header("retry-after")), (503, Some("0")), "{got:?}");
    assert_eq!(got.header("connection"), Some("close"));
    assert!(got.text().contains(r#""outcome":"not_run""#), "{}", got.text());
    assert!(got.text().contains(r#""reason":"stopping""#), "{}", got.text());
}

#[test]
fn a_request_of_unknown_outcome_is_not_answered_by_a_stop_as_one_to_be_repeated() {
    let not_run = start(|_| vec![failure(Outcome::NotRun)]);
    let unknown = start(|_| vec![failure(Outcome::Unknown)]);

    let got = [not_run, unknown].map(|it| stream(it, "HTTP/1.1").status);

    assert_eq!(got, [503, 502]);
}

#[test]
fn the_first_request_of_a_connection_is_answered_after_a_stop_refuses_new_ones() {
    let (addr, drain) = start_stoppable(|_| vec![failure(Outcome::NotRun)]);
    let mut fresh = connect(addr);
    assert_eq!(stream(addr, "HTTP/1.1").status, 503, "the listener has taken both");

    drain.enter(DrainPhase::Closed);
    let got = exchange(&mut fresh, &request("HTTP/1.1"));

    assert_eq!((got.status, got.header("connection")), (503, Some("close")), "{got:?}");
}

#[test]
fn a_stop_waits_until_callers_of_the_own_interface_have_taken_their_answers() {
    let long = "x".repeat(8 << 20);
    let size = long.len();
    let reply = move |_| {
        let finish = Finish { result: Ok(long.clone()), stages: Vec::new(), stored: false };
        vec![CallerReply::Finish(Box::new(finish))]
    };
    let (addr, drain) = start_stoppable(reply);
    let mut slow = connect(addr);
    slow.write_all(request_of("HTTP/1.1", false).as_bytes()).expect("the request is sent");
    let mut start = [0; 12];
    slow.read_exact(&mut start).expect("the answer has begun");

    drain.end_at(Instant::now() + Duration::from_secs(20));
    drain.enter(DrainPhase::Closed);
    thread::sleep(Duration::from_millis(200));
    let open = drain.open();
    let mut rest = Vec::new();
    slow.read_to_end(&mut rest).expect("the answer is whole");

    assert_eq!((&start[9..], open), (&b"200"[..], 1));
    assert!(rest.len() > size, "{}", rest.len());
    harness::wait_until("the connection has ended", harness::LONG_TIMEOUT, || drain.open() == 0);
}

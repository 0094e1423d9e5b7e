//! What becomes of stage requests when their batcher stops, or their submitter is gone.

mod relaying;

use {
    coord::{
        catalog::{Catalog, RetryPolicy},
        ids::Bytes,
        memory::MemoryUse,
        relay::Shard,
        tables::Member,
        time::Millis,
    },
    daemon::{
        event::Inbox,
        memory::{Memory, MemorySettings},
        peers,
        relay::{
            BatcherEvent, DrainPhase, Handle, PieceError, PieceInput, StageReply, StageRequest,
            StoredResult,
        },
    },
    harness::{LONG_TIMEOUT, wait_until},
    jsonrpsee::{core::client::ClientT, rpc_params, ws_client::WsClientBuilder},
    relaying::{
        Fixture, call, catalog, connect, endpoint, healthy, member, read_response, request, route,
        scripted, signed_ok, stage, start, start_with_members,
    },
    standin::{ReceivedRequest, ScriptedEndpoint, Step},
    std::{
        io::Write,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
            mpsc::sync_channel,
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc::unbounded_channel, oneshot},
        time::timeout,
    },
};

/// From the start of a shutdown to its end.
const STOP_BOUND: Duration = Duration::from_millis(3000);
/// How long before its end a submitter must have its reply.
const REPLY_MARGIN: Duration = Duration::from_millis(300);
/// How soon a submitter must have a reply that is known at once.
const AT_ONCE: Duration = Duration::from_millis(200);
/// How long a call of pieces takes.
const CALL_TIME: Duration = Duration::from_millis(400);
/// How long the endpoints of the catalog keep results.
const RESULT_TTL: Millis = Millis(4000);
/// Longer than any test.
const NEVER: Duration = Duration::from_secs(30);

fn staged_catalog() -> Catalog {
    let mut staged = route(RetryPolicy::Stream);
    staged.stages = vec![stage(&[])];
    catalog(staged)
}

/// Returns a catalog whose calls of pieces may take as long as any test.
fn slow_catalog() -> Catalog {
    let mut catalog = staged_catalog();
    for batch in catalog.services.values_mut().filter_map(|it| it.batch.as_mut()) {
        batch.call_overhead = Millis(10_000);
    }
    catalog
}

fn is_free(seen: &ReceivedRequest) -> bool {
    seen.head.starts_with("POST /v1/pieces/free ")
}

/// Starts an endpoint that makes one result for each piece.
fn maker() -> ScriptedEndpoint {
    scripted(|seen, number| {
        if is_free(seen) {
            return vec![Step::Send(signed_ok(seen, "{}"))];
        }
        let count = String::from_utf8_lossy(&seen.body).matches("\"number\"").count();
        let results: Vec<_> =
            (0..count).map(|it| format!("{{\"Ok\":\"h{number}-{it}\"}}")).collect();
        let body = format!("{{\"results\":[{}]}}", results.join(","));
        vec![Step::Wait(CALL_TIME), Step::Send(signed_ok(seen, &body))]
    })
}

/// Submits a stage request for one piece as another instance does.
fn submit(relay: &Fixture, id: u64) -> oneshot::Receiver<StageReply> {
    let (respond, answer) = oneshot::channel();
    let event = BatcherEvent::Submit { request: Box::new(stage_request(id)), respond };
    relay.batcher_events.send(event).expect("the batchers run");
    answer
}

/// Submits a stage request and waits until it is in a call.
fn submit_called(
    relay: &Fixture,
    pieces: &ScriptedEndpoint,
    id: u64,
) -> oneshot::Receiver<StageReply> {
    let answer = submit(relay, id);
    wait_until("the piece is called", LONG_TIMEOUT, || !pieces.received().is_empty());
    answer
}

/// Begins a shutdown and returns when it ends.
fn stop(relay: &Fixture) -> Instant {
    let end = Instant::now() + STOP_BOUND;
    relay.drain.end_at(end);
    relay.drain.enter(DrainPhase::Leaving);
    end
}

fn reply(answer: oneshot::Receiver<StageReply>) -> StageReply {
    answer.blocking_recv().expect("a reply")
}

/// Returns the reply with one result.
fn made() -> StageReply {
    let endpoint = "s".parse().expect("a name");
    let result = StoredResult { handle: Handle("h".to_owned()), endpoint };
    StageReply { answer: Ok(vec![result]), wait: Millis(0) }
}

/// Starts a relay whose batchers are other instances.
fn start_gathered(batchers: &[Member], catalog: Catalog, app: SocketAddr) -> Fixture {
    let relay = start_with_members(batchers, catalog, &rows(unused(), app));
    // Instances with a disk gather nothing.
    relay.tables.send_modify(|it| {
        let roster = &mut Arc::make_mut(it).roster;
        roster.values_mut().filter(|it| it.peer == relay.addr).for_each(|it| it.disk = true);
    });
    sleep(Duration::from_millis(200));
    relay
}

/// Returns a catalog with a stage that needs the results of another, and a long timeout.
fn chained_catalog() -> Catalog {
    let mut staged = route(RetryPolicy::Stream);
    staged.timeout = Millis(20_000);
    staged.stages = vec![stage(&[]), stage(&[0])];
    catalog(staged)
}

/// Returns a request with one piece of each of two stages, and much time.
fn chained_request() -> String {
    let text = request("id", "mangobend-pieces: 1,1\r\n", "");
    text.replace("deadline-ms: 2000", "deadline-ms: 15000")
}

fn rows(pieces: SocketAddr, app: SocketAddr) -> [coord::tables::Endpoint; 2] {
    [endpoint("e", "app", app), endpoint("s", "stage", pieces)]
}

/// Returns an address without a listener.
fn unused() -> SocketAddr {
    "127.0.0.2:9".parse().expect("an address")
}

/// Returns a stage request for one piece.
fn stage_request(id: u64) -> StageRequest {
    let shard = Shard { pool: "stage".parse().expect("a name"), domain: None };
    StageRequest {
        id,
        shard,
        request_id: format!("r{id}"),
        whole: None,
        repeated: false,
        stage: 0,
        count: 1,
        input: PieceInput::Source("doc".to_owned()),
        priority: 1,
        size: Bytes(1),
        transfer_size: Bytes(1),
        preferred_domain: None,
        target: Millis(10_000),
        deadline: Millis(15_000),
    }
}

/// Starts the peer listeners of instances, each of which answers a stage request with what
/// `answer` returns, given the request and its number among those of all.
fn start_peers(
    count: u64,
    answer: impl Fn(&StageRequest, usize) -> StageReply + Send + Sync + 'static,
) -> (Vec<Member>, Arc<AtomicUsize>) {
    let (asked, answer) = (Arc::new(AtomicUsize::new(0)), Arc::new(answer));
    let listeners: Vec<_> = (0..count)
        .map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.set_nonblocking(true).expect("a listener can be non-blocking");
            listener
        })
        .collect();
    let addrs = listeners.iter().map(|it| it.local_addr().expect("it has an address"));
    let members = addrs.zip(2..).map(|(peer, id)| Member { peer, ..member(id, "d") }).collect();
    let counter = asked.clone();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("the runtime starts").block_on(async move {
            for listener in listeners {
                let (sender, mut events) = unbounded_channel();
                tokio::spawn(serve_peer(listener, sender));
                let (asked, answer) = (counter.clone(), answer.clone());
                tokio::spawn(async move {
                    while let Some(event) = events.recv().await {
                        if let BatcherEvent::Submit { request, respond } = event {
                            // The submitter may be gone.
                            let _ = respond
                                .send(answer(&request, asked.fetch_add(1, Ordering::SeqCst)));
                        }
                    }
                });
            }
            std::future::pending::<()>().await
        });
    });
    (members, asked)
}

async fn serve_peer(
    listener: TcpListener,
    batchers: tokio::sync::mpsc::UnboundedSender<BatcherEvent>,
) {
    let (sender, _events) = sync_channel(1);
    let relaying = MemoryUse { relays: true, ..MemoryUse::default() };
    let memory = Memory::new(MemorySettings::default(), relaying);
    peers::serve(listener, "".into(), Inbox::new(sender), batchers, memory).await;
}

#[test]
fn a_stopping_batcher_hands_back_what_it_has_not_called() {
    let pieces = maker();
    let relay = start(staged_catalog(), &rows(pieces.addr, unused()));
    let called = submit_called(&relay, &pieces, 1);
    let queued = submit(&relay, 2);

    stop(&relay);
    let began = Instant::now();
    let late = submit(&relay, 3);
    let handed_back = [reply(queued), reply(late)].map(|it| it.answer);
    let took = began.elapsed();
    let unfinished = relay.drain.gathered();
    let made = reply(called).answer;

    assert_eq!(handed_back, [Err(PieceError::Unreachable), Err(PieceError::Unreachable)]);
    assert!(took < AT_ONCE, "took {took:?}");
    assert!(made.is_ok(), "{made:?}");
    assert_eq!(pieces.received().len(), 1);
    assert_eq!(unfinished, 1);
    wait_until("none is left", LONG_TIMEOUT, || relay.drain.gathered() == 0);
    assert_eq!(relay.drain.handed_back(), (2, 0));
}

#[test]
fn a_stopping_batcher_hands_back_what_is_still_called_before_it_ends() {
    let pieces = scripted(|_, _| vec![Step::Wait(NEVER)]);
    let relay = start(slow_catalog(), &rows(pieces.addr, unused()));
    let called = submit_called(&relay, &pieces, 1);

    let end = stop(&relay);
    let got = reply(called);

    assert!(Instant::now() + REPLY_MARGIN < end, "replied too late");
    assert_eq!(got.answer, Err(PieceError::Unreachable));
    assert_eq!(relay.drain.handed_back(), (1, 1));
}

/// Guards against a sole instance that refuses its own requests as soon as it stops.
#[test]
fn a_stopping_instance_that_has_no_other_batcher_finishes_its_stages() {
    let (pieces, app) = (maker(), healthy("fine"));
    let relay = start(staged_catalog(), &rows(pieces.addr, app.addr));
    let text = |id| request(id, "mangobend-pieces: 1\r\n", "");
    let mut waiting = ["called", "queued"].map(|id| {
        let mut stream = connect(&relay);
        stream.write_all(text(id).as_bytes()).expect("the request is sent");
        wait_until("a piece is called", LONG_TIMEOUT, || !pieces.received().is_empty());
        stream
    });
    wait_until("both are known", LONG_TIMEOUT, || relay.drain.active() == 2);

    stop(&relay);
    let late = call(&relay, &text("late"));

    let got = waiting.each_mut().map(|it| read_response(it).status);
    assert_eq!((got, late.status), ([200, 200], 200));
}

#[test]
fn stages_reach_a_batcher_that_goes_on_though_many_stop() {
    const STOPPING: usize = 5;
    let app = healthy("fine");
    let (members, asked) = start_peers(10, |_, number| match number < STOPPING {
        true => StageReply::failed(PieceError::Unreachable),
        false => made(),
    });
    let relay = start_gathered(&members, staged_catalog(), app.addr);

    let first = call(&relay, &request("id1", "mangobend-pieces: 1\r\n", ""));
    let tried = asked.load(Ordering::SeqCst);
    let second = call(&relay, &request("id2", "mangobend-pieces: 1\r\n", ""));

    assert_eq!((first.status, second.status), (200, 200), "{}", first.text());
    assert_eq!(tried, STOPPING + 1);
    assert_eq!(asked.load(Ordering::SeqCst), STOPPING + 2, "the peers that stop are remembered");
}

#[test]
fn pieces_whose_submitter_is_gone_are_not_called() {
    let pieces = maker();
    let relay = start(staged_catalog(), &rows(pieces.addr, unused()));
    let called = submit_called(&relay, &pieces, 1);

    drop(submit(&relay, 2));
    let kept = submit(&relay, 3);
    let made = [reply(called), reply(kept)].map(|it| it.answer.is_ok());

    assert_eq!(made, [true, true]);
    let bodies: String =
        pieces.received().iter().map(|it| String::from_utf8_lossy(&it.body).into_owned()).collect();
    assert!(!bodies.contains("\"r2\""), "{bodies}");
}

/// Guards against stage requests that outlive the connection that they came on.
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_request_ends_with_the_connection_of_its_submitter() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    let addr = listener.local_addr().expect("it has an address");
    let (sender, mut events) = unbounded_channel();
    tokio::spawn(serve_peer(listener, sender));
    let client = WsClientBuilder::default().build(format!("ws://{addr}")).await;
    let client = client.expect("the peer listens");

    let asked = tokio::spawn(async move {
        client.request::<StageReply, _>("gather", rpc_params!["", stage_request(1)]).await
    });
    let Some(BatcherEvent::Submit { mut respond, .. }) = events.recv().await else {
        panic!("no stage request");
    };
    asked.abort();

    timeout(LONG_TIMEOUT, respond.closed()).await.expect("the request ends");
}

#[test]
fn a_stage_is_due_before_its_inputs_expire() {
    let app = healthy("fine");
    let deadlines: Arc<Mutex<Vec<Millis>>> = Arc::default();
    let seen = deadlines.clone();
    let (members, _) = start_peers(1, move |request, _| {
        seen.lock().expect("lock poisoned").push(request.deadline);
        made()
    });
    let relay = start_gathered(&members, chained_catalog(), app.addr);

    let got = call(&relay, &chained_request());

    assert_eq!(got.status, 200, "{}", got.text());
    let deadlines = deadlines.lock().expect("lock poisoned").clone();
    assert!(deadlines[0] > Millis(10_000), "{deadlines:?}");
    assert!(deadlines[1] > Millis(3000) && deadlines[1] < RESULT_TTL, "{deadlines:?}");
}

/// Guards against requests that begin anew though their inputs are lost again for sure.
#[test]
fn stages_whose_inputs_expire_in_a_long_queue_are_not_begun_anew() {
    for err in [PieceError::Late, PieceError::Gone] {
        let app = healthy("fine");
        let (members, asked) = start_peers(1, move |_, number| match number % 2 {
            0 => made(),
            _ => StageReply { answer: Err(err), wait: RESULT_TTL },
        });
        let relay = start_gathered(&members, chained_catalog(), app.addr);

        let got = call(&relay, &chained_request());

        assert_eq!((got.status, got.text().as_str()), (503, "too_late"), "{err}");
        assert_eq!(asked.load(Ordering::SeqCst), 2, "{err}");
        assert!(got.header("retry-after").is_some() && app.received().is_empty());
    }
}

#[test]
fn stages_whose_inputs_expired_are_begun_anew_once_if_there_is_time() {
    for err in [PieceError::Late, PieceError::Gone] {
        let app = healthy("fine");
        let (members, asked) = start_peers(1, move |_, number| match number {
            1 => StageReply::failed(err),
            _ => made(),
        });
        let relay = start_gathered(&members, chained_catalog(), app.addr);

        let got = call(&relay, &chained_request());

        assert_eq!((got.status, asked.load(Ordering::SeqCst)), (200, 4), "{err}");
    }
}

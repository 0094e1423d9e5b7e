//! What the relay forwards, and how it handles endpoints that misbehave.

mod relaying;

use {
    coord::{
        catalog::{Catalog, RetryPolicy},
        ids::{Bytes, CatalogVersion},
        relay::Shard,
        tables::{Endpoint, EndpointState, Suspect, SuspectKey, Suspects, Tables},
        time::Millis,
    },
    daemon::relay::{BatcherEvent, DrainPhase, PieceError, PieceInput, StageReply, StageRequest},
    harness::{LONG_TIMEOUT, wait_until},
    relaying::{
        Fixture, call, catalog, connect, endpoint, exchange, healthy, member, not_run,
        read_response, request, route, scripted, signed_ok, signed_response, stage, start,
        start_with_members, with_team,
    },
    standin::{AnswerEnd, AnswerFraming, FramedAnswer, ScriptedEndpoint, Step},
    std::{
        io::Write,
        net::SocketAddr,
        sync::Arc,
        thread::sleep,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

fn app_endpoint(backend: &ScriptedEndpoint) -> Vec<Endpoint> {
    vec![endpoint("e", "app", backend.addr)]
}

/// Guards against callers that are told to retry while no leader is elected yet, and are refused
/// again.
#[test]
fn an_instance_without_a_catalog_tells_callers_to_retry_after_an_election() {
    let relay = start(Catalog::default(), &[]);

    let after: [f64; 2] = ["10000", "1500"].map(|left| {
        let got = call(&relay, &request("id", "", "").replace("2000", left));
        assert_eq!(got.status, 503);
        let after = got.header("retry-after").and_then(|it| it.parse().ok());
        after.expect("a number")
    });

    assert!((1.0..=1.4).contains(&after[0]), "{after:?}");
    assert!((0.43..=0.5).contains(&after[1]), "{after:?}");
}

#[test]
fn reserved_and_hop_by_hop_headers_are_not_forwarded() {
    let backend = healthy("fine");
    let relay =
        start(with_team(catalog(route(RetryPolicy::Once)), "t", "secret"), &app_endpoint(&backend));
    let headers = "authorization: Bearer secret\r\nmangobend-team: forged\r\n\
                   mangobend-endpoint: forged\r\nmangobend-inputs: forged\r\n\
                   connection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=9\r\nte: trailers\r\n\
                   x-own: kept\r\n";
    let body = "GET /a/smuggled HTTP/1.1\r\nhost: app.example\r\n\r\n";

    let got = call(&relay, &request("id1", headers, body));

    assert_eq!((got.status, got.text().as_str()), (200, "fine"));
    let seen = backend.received();
    assert_eq!(seen.len(), 1, "the body is not parsed as a second request");
    assert!(seen[0].head.starts_with("POST /a/x?q=1 HTTP/1.1\r\n"), "{}", seen[0].head);
    assert_eq!(seen[0].body, body.as_bytes());
    assert_eq!(seen[0].header("mangobend-team"), Some("t"));
    assert_eq!(seen[0].header("mangobend-endpoint"), Some("e"));
    assert_eq!(seen[0].header("x-own"), Some("kept"));
    for name in ["authorization", "mangobend-inputs", "x-hop", "keep-alive", "te"] {
        assert_eq!(seen[0].header(name), None, "{name}");
    }
}

#[test]
fn an_unknown_key_or_route_is_refused_without_forwarding() {
    let backend = healthy("fine");
    let relay =
        start(with_team(catalog(route(RetryPolicy::Once)), "t", "secret"), &app_endpoint(&backend));
    let wrong_path_request =
        request("id2", "authorization: Bearer secret\r\n", "").replace("/a/", "/b/");

    let wrong_key = call(&relay, &request("id1", "authorization: Bearer wrong\r\n", ""));
    let wrong_path = call(&relay, &wrong_path_request);

    assert_eq!((wrong_key.status, wrong_path.status), (401, 404));
    assert!(backend.received().is_empty());
}

#[test]
fn the_remaining_time_is_sent_to_the_endpoint() {
    let backend = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));

    call(&relay, &request("id1", "", ""));

    let remaining = backend.received()[0].header("mangobend-deadline-ms").map(str::to_owned);
    let remaining: u64 = remaining.and_then(|it| it.parse().ok()).expect("a number");
    assert!((1000..2000).contains(&remaining), "{remaining}");
}

#[test]
fn an_unsigned_success_is_not_forwarded() {
    let backend = scripted(|seen, _| {
        let id = seen.header("mangobend-request").unwrap_or_default();
        let text =
            format!("HTTP/1.1 200 OK\r\nmangobend-request: {id}\r\ncontent-length: 2\r\n\r\nno");
        vec![Step::Send(text.into_bytes())]
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));

    let got = call(&relay, &request("id1", "", ""));

    assert_eq!(got.status, 502);
    assert_ne!(got.text(), "no");
}

#[test]
fn a_response_to_another_request_is_not_forwarded() {
    let backend = scripted(|_, _| {
        let text = "HTTP/1.1 200 OK\r\nmangobend-request: other\r\nmangobend-signature: s\r\n\
                    content-length: 2\r\n\r\nno";
        vec![Step::Send(text.into())]
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));

    let got = call(&relay, &request("id1", "", ""));

    assert_eq!(got.status, 502);
}

#[test]
fn bytes_after_a_complete_response_are_discarded() {
    let backend = scripted(|seen, _| {
        let mut bytes = signed_ok(seen, "first");
        bytes.extend(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra");
        vec![Step::Send(bytes)]
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));

    let answers: Vec<String> =
        (0..4).map(|it| call(&relay, &request(&format!("id{it}"), "", "")).text()).collect();

    assert_eq!(answers, ["first"; 4]);
}

#[test]
fn a_truncated_stream_does_not_look_complete() {
    let backend = scripted(|seen, _| {
        let head = "transfer-encoding: chunked\r\n";
        let part = signed_response(seen, "200 OK", head, "5\r\nevent\r\n");
        vec![Step::Send(part), Step::Wait(Duration::from_millis(50)), Step::Close]
    });
    let relay = start(catalog(route(RetryPolicy::Stream)), &app_endpoint(&backend));

    let got = call(&relay, &request("id1", "", ""));

    assert_eq!(got.status, 200);
    assert!(got.text().contains("event"));
    assert!(!got.complete, "{}", got.text());
}

#[test]
fn a_reset_response_without_content_length_is_not_a_success() {
    let backend = scripted(|seen, _| {
        let part = signed_response(seen, "200 OK", "connection: close\r\n", "part");
        vec![Step::Send(part), Step::Wait(Duration::from_millis(50)), Step::Reset]
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));

    let got = call(&relay, &request("id1", "", ""));

    assert_eq!(got.status, 502);
}

#[test]
fn a_connection_with_an_early_response_is_not_reused() {
    let backend = scripted(|seen, number| match number {
        0 => vec![
            Step::SkipBody,
            Step::Send(signed_response(seen, "413 Large", "content-length: 0\r\n", "")),
        ],
        _ => vec![Step::Send(signed_ok(seen, "fine"))],
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));
    let large = "x".repeat(3 << 20);

    let first = call(&relay, &request("id1", "", &large));
    let second = call(&relay, &request("id2", "", "small"));

    assert_eq!(first.status, 413);
    assert_eq!(second.text(), "fine");
    let last = backend.received().pop().expect("a request");
    assert_eq!((last.header("mangobend-request"), &last.body[..]), (Some("id2"), &b"small"[..]));
}

#[test]
fn status_503_is_returned_only_if_the_endpoint_says_not_run() {
    let unmarked =
        scripted(|_, _| vec![Step::Send(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".into())]);
    let marked = scripted(|_, _| vec![Step::Send(not_run("503 Busy"))]);
    let unmarked_relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&unmarked));
    let marked_relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&marked));

    let unknown = call(&unmarked_relay, &request("id1", "", ""));
    let refused = call(&marked_relay, &request("id1", "", ""));

    assert_eq!((unknown.status, refused.status), (502, 503));
    assert!(refused.header("retry-after").is_some());
}

#[test]
fn a_request_whose_input_is_gone_is_refused_and_not_retried() {
    let backend = scripted(|_, _| vec![Step::Send(not_run("409 Conflict"))]);
    let other = scripted(|_, _| vec![Step::Send(not_run("409 Conflict"))]);
    let endpoints = [endpoint("a", "app", backend.addr), endpoint("b", "app", other.addr)];
    let relay = start(catalog(route(RetryPolicy::ResumableStream)), &endpoints);

    let got = call(&relay, &request("id1", "", ""));

    assert_eq!(got.status, 503);
    assert_eq!(backend.received().len() + other.received().len(), 1);
}

#[test]
fn a_non_repeatable_request_with_unknown_outcome_is_not_retried() {
    let broken = scripted(|_, _| vec![Step::Close]);
    let other = healthy("again");
    let endpoints = [endpoint("a", "app", broken.addr), endpoint("b", "app", other.addr)];
    let relay = start(catalog(route(RetryPolicy::Once)), &endpoints);

    let answers: Vec<u16> =
        (0..8).map(|it| call(&relay, &request(&format!("id{it}"), "", "")).status).collect();

    let sent = broken.received().len() + other.received().len();
    assert_eq!(sent, 8, "each is sent once");
    assert_eq!(answers.iter().filter(|it| **it == 502).count(), broken.received().len());
}

#[test]
fn an_idempotent_request_is_retried_at_another_endpoint() {
    let broken = scripted(|_, _| vec![Step::Close]);
    let other = healthy("again");
    let endpoints = [endpoint("a", "app", broken.addr), endpoint("b", "app", other.addr)];
    let relay = start(catalog(route(RetryPolicy::Idempotent)), &endpoints);

    let answers: Vec<u16> =
        (0..8).map(|it| call(&relay, &request(&format!("id{it}"), "", "")).status).collect();

    assert_eq!(answers, [200; 8]);
}

#[test]
fn an_idle_connection_closed_by_the_endpoint_fails_no_request() {
    let backend = scripted(|seen, _| {
        let head = "keep-alive: timeout=2\r\ncontent-length: 4\r\n";
        let pause = Step::Wait(Duration::from_millis(300));
        vec![Step::Send(signed_response(seen, "200 OK", head, "fine")), pause, Step::Close]
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));

    for number in 0..3 {
        let got = call(&relay, &request(&format!("id{number}"), "", ""));
        assert_eq!(got.status, 200);
        sleep(Duration::from_millis(500));
    }

    assert_eq!(backend.received().len(), 3);
}

#[test]
fn work_ends_when_the_caller_disconnects() {
    let backend = scripted(|seen, _| {
        let head = "transfer-encoding: chunked\r\n";
        let part = signed_response(seen, "200 OK", head, "5\r\nevent\r\n");
        vec![Step::Send(part), Step::Wait(Duration::from_secs(5))]
    });
    let relay = start(catalog(route(RetryPolicy::Stream)), &app_endpoint(&backend));
    let mut caller = connect(&relay);
    caller.write_all(request("id1", "", "").as_bytes()).expect("the relay reads");
    sleep(Duration::from_millis(300));

    let left = Instant::now();
    drop(caller);
    sleep(Duration::from_millis(450));

    let noticed = backend.disconnects();
    assert_eq!(noticed.len(), 1, "the endpoint sees one closed connection");
    assert!(noticed[0] >= left);
}

#[test]
fn work_ends_when_the_caller_disconnects_before_the_response() {
    let backend = scripted(|_, _| vec![Step::Wait(Duration::from_secs(5))]);
    let relay = start(catalog(route(RetryPolicy::Idempotent)), &app_endpoint(&backend));
    let mut caller = connect(&relay);
    caller.write_all(request("id1", "", "").as_bytes()).expect("the relay reads");
    sleep(Duration::from_millis(300));

    drop(caller);
    sleep(Duration::from_millis(450));

    assert_eq!(backend.disconnects().len(), 1);
    assert_eq!(relay.drain.active(), 0);
}

#[test]
fn the_route_timeout_ends_a_request() {
    let backend = scripted(|_, _| vec![Step::Wait(Duration::from_secs(5))]);
    let mut slow = route(RetryPolicy::Once);
    slow.timeout = coord::time::Millis(400);
    let relay = start(catalog(slow), &app_endpoint(&backend));

    let began = Instant::now();
    let got = call(&relay, &request("id1", "", ""));

    assert_eq!(got.status, 504);
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(400) && took < Duration::from_millis(900), "{took:?}");
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let backend = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));
    assert_eq!(call(&relay, &request("id1", "", "")).status, 200);

    let mut tables = Tables::clone(&relay.tables.borrow());
    tables.endpoints[0].state = EndpointState::Leaving;
    relay.tables.send_replace(Arc::new(tables));
    sleep(Duration::from_millis(100));

    assert_eq!(call(&relay, &request("id2", "", "")).status, 503);
    assert_eq!(backend.received().len(), 1);
}

#[test]
fn a_new_catalog_takes_effect_at_once() {
    let backend = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));
    let mut moved = route(RetryPolicy::Once);
    moved.prefix = "/b/".to_owned();
    let mut next = catalog(moved);
    next.version = CatalogVersion(2);

    let mut tables = Tables::clone(&relay.tables.borrow());
    tables.catalog = Arc::new(next);
    relay.tables.send_replace(Arc::new(tables));
    sleep(Duration::from_millis(100));

    assert_eq!(call(&relay, &request("id1", "", "")).status, 404);
    assert_eq!(call(&relay, &request("id2", "", "").replace("/a/", "/b/")).status, 200);
}

#[test]
fn a_graceful_shutdown_serves_requests_until_it_closes_to_new_ones() {
    let backend = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));
    let mut persistent = connect(&relay);
    assert_eq!(exchange(&mut persistent, &request("id1", "", "")).status, 200);

    relay.drain.enter(DrainPhase::Leaving);
    let leaving = exchange(&mut persistent, &request("id2", "", ""));
    let mut idle = connect(&relay);
    assert_eq!(exchange(&mut idle, &request("id3", "", "")).status, 200);
    relay.drain.enter(DrainPhase::Closed);
    let closed = call(&relay, &request("id4", "", ""));

    assert_eq!((leaving.status, leaving.header("connection")), (200, Some("close")));
    assert_eq!((closed.status, closed.header("retry-after")), (503, Some("0.00")));
    assert!(!read_response(&mut idle).complete, "the idle connection is closed");
    assert_eq!(backend.received().len(), 3);
}

#[test]
fn a_request_whose_body_comes_after_a_stop_has_closed_is_refused_and_not_passed_on() {
    let backend = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));
    let mut late = connect(&relay);
    let text = request("id1", "", "body");
    let (head, body) = text.split_at(text.len() - 2);
    late.write_all(head.as_bytes()).expect("the head is sent");
    wait_until("the request is known", LONG_TIMEOUT, || relay.drain.active() == 1);

    relay.drain.enter(DrainPhase::Closed);
    late.write_all(body.as_bytes()).expect("the rest of the body is sent");
    let got = read_response(&mut late);

    assert_eq!((got.status, got.header("retry-after")), (503, Some("0.00")));
    assert!(backend.received().is_empty());
}

#[test]
fn a_waiting_request_that_a_stop_would_cut_off_is_refused_and_not_passed_on() {
    let backend = scripted(|seen, number| match number {
        0 => {
            let head = "mangobend-not-run: 1\r\nretry-after: 1\r\ncontent-length: 0\r\n";
            vec![Step::Send(format!("HTTP/1.1 503 Busy\r\n{head}\r\n").into())]
        }
        _ => vec![Step::Send(signed_ok(seen, "fine"))],
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &app_endpoint(&backend));
    assert_eq!(call(&relay, &request("id1", "", "")).status, 503);
    let mut waiting = connect(&relay);
    waiting.write_all(request("id2", "", "").as_bytes()).expect("the request is sent");
    wait_until("the request is known", LONG_TIMEOUT, || relay.drain.active() == 1);

    relay.drain.end_at(Instant::now());
    relay.drain.enter(DrainPhase::Closed);
    let got = read_response(&mut waiting);

    assert_eq!((got.status, got.header("retry-after")), (503, Some("0.00")));
    assert_eq!(backend.received().len(), 1);
}

#[test]
fn an_answer_that_ends_inside_its_head_is_no_success() {
    let whole = b"HTTP/1.1 200 OK\r\nmangobend-request: id\r\nmangobend-signature: s\r\n\
                  content-length: 2\r\n\r\n";
    for policy in [RetryPolicy::Once, RetryPolicy::Stream] {
        for cut in (0..whole.len()).step_by(3).chain([whole.len() - 2, whole.len() - 1]) {
            let backend = scripted(move |_, _| vec![Step::Send(whole[..cut].into()), Step::Close]);
            let relay = start(catalog(route(policy)), &app_endpoint(&backend));

            let got = call(&relay, &request("id", "", ""));

            assert_eq!(got.status, 502, "cut at {cut}: {}", got.text());
            assert_eq!(backend.received().len(), 1, "cut at {cut}");
        }
    }
}

#[test]
fn stages_run_before_the_request_and_their_results_are_freed() {
    let pieces = scripted(|seen, number| {
        let text = String::from_utf8_lossy(&seen.body).into_owned();
        let count = text.matches("\"number\"").count();
        let results: Vec<String> =
            (0..count).map(|it| format!("{{\"Ok\":\"h{number}-{it}\"}}")).collect();
        let body = match seen.head.contains("/v1/pieces/free") {
            true => "{}".to_owned(),
            false => format!("{{\"results\":[{}]}}", results.join(",")),
        };
        vec![Step::Send(signed_ok(seen, &body))]
    });
    let backend = healthy("fine");
    let mut staged = route(RetryPolicy::Stream);
    staged.stages = vec![stage(&[]), stage(&[0])];
    let endpoints = [endpoint("e", "app", backend.addr), endpoint("s", "stage", pieces.addr)];
    let relay = start(catalog(staged), &endpoints);

    let headers = "mangobend-pieces: 2,3\r\nmangobend-source: doc\r\n";
    let got = call(&relay, &request("id1", headers, ""));
    sleep(Duration::from_millis(300));

    assert_eq!(got.status, 200, "{}", got.text());
    let inputs = backend.received()[0].header("mangobend-inputs").map(str::to_owned);
    assert_eq!(inputs.expect("the results").split(',').count(), 3);
    let calls: Vec<String> =
        pieces.received().iter().map(|it| String::from_utf8_lossy(&it.body).into_owned()).collect();
    assert!(calls[0].contains("\"source\":\"doc\""), "{calls:?}");
    assert!(calls[1].contains("\"results\":["), "{calls:?}");
    let freed: usize = calls[2..].iter().map(|it| it.matches("\"h").count()).sum();
    assert_eq!(freed, 5, "{calls:?}");
}

#[test]
fn stages_that_cannot_be_done_in_time_are_refused_at_once() {
    let pieces = scripted(|_, _| vec![Step::Wait(Duration::from_secs(5))]);
    let backend = healthy("fine");
    let mut staged = route(RetryPolicy::Stream);
    staged.stages = vec![stage(&[])];
    let endpoints = [endpoint("e", "app", backend.addr), endpoint("s", "stage", pieces.addr)];
    let relay = start(catalog(staged), &endpoints);
    let short = request("id1", "mangobend-pieces: 1\r\n", "").replace("ms: 2000", "ms: 150");

    let began = Instant::now();
    let got = call(&relay, &short);

    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert!(began.elapsed() < Duration::from_millis(100), "{:?}", began.elapsed());
    assert!(backend.received().is_empty());
}

/// Starts a relay with enough members that pools are split into shards, and a
/// stage's endpoint in domain `d`.
fn split_relay(pieces: SocketAddr) -> Fixture {
    split_relay_of(&[pieces])
}

fn split_relay_of(pieces: &[SocketAddr]) -> Fixture {
    let mut staged = route(RetryPolicy::Stream);
    staged.stages = vec![stage(&[])];
    let near = |(number, addr): (usize, &SocketAddr)| Endpoint {
        domain: "d".parse().expect("a name"),
        ..endpoint(&format!("s{number}"), "stage", *addr)
    };
    let near: Vec<_> = pieces.iter().enumerate().map(near).collect();
    let others: Vec<_> = (2..40).map(|it| member(it, if it < 20 { "d" } else { "f" })).collect();
    start_with_members(&others, catalog(staged), &near)
}

/// Submits a stage request for one piece in domain `d` to the relay's batcher.
fn submit_piece(relay: &Fixture) -> oneshot::Receiver<StageReply> {
    submit_piece_of(relay, None)
}

fn submit_piece_of(relay: &Fixture, whole: Option<Suspect>) -> oneshot::Receiver<StageReply> {
    let shard = Shard {
        pool: "stage".parse().expect("a name"),
        domain: Some("d".parse().expect("a name")),
    };
    let request = StageRequest {
        id: 1,
        shard,
        request_id: "r".to_owned(),
        whole,
        repeated: false,
        stage: 0,
        count: 1,
        input: PieceInput::Source("doc".to_owned()),
        priority: 1,
        size: Bytes(1),
        transfer_size: Bytes(1),
        preferred_domain: None,
        target: Millis(1000),
        deadline: Millis(5000),
    };
    let (respond, answer) = oneshot::channel();
    relay
        .batcher_events
        .send(BatcherEvent::Submit { request: Box::new(request), respond })
        .expect("the batchers run");
    answer
}

#[test]
fn pieces_of_a_domain_whose_endpoints_all_fail_are_refused_at_once() {
    let relay = split_relay("127.0.0.2:9".parse().expect("an address"));

    let began = Instant::now();
    let reply = submit_piece(&relay).blocking_recv().expect("a reply");

    assert_eq!(reply.answer, Err(PieceError::Down));
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

#[test]
fn a_piece_of_a_request_that_may_crash_endpoints_is_not_called_again() {
    let backends: Vec<_> = (0..8).map(|_| scripted(|_, _| vec![Step::Close])).collect();
    let addrs: Vec<_> = backends.iter().map(|it| it.addr).collect();
    let relay = split_relay_of(&addrs);
    let calls = || backends.iter().map(|it| it.received().len()).sum::<usize>();
    let whole: Suspect = "#1f".parse().expect("a digest");
    let key = SuspectKey { pool: "stage".parse().expect("a name"), suspect: whole.clone() };
    let all = [key].into_iter().collect();
    relay.suspects.send_replace(Arc::new(Suspects { all, ..Suspects::default() }));

    let reply = submit_piece_of(&relay, Some(whole)).blocking_recv().expect("a reply");
    let suspected = calls();
    let other = submit_piece(&relay).blocking_recv().expect("a reply");

    assert_eq!((reply.answer, suspected), (Err(PieceError::Failed), 1));
    assert_eq!((other.answer, calls() - suspected), (Err(PieceError::Failed), 3));
}

/// The reply to a stage request whose endpoint answers like this.
fn reply_to_piece(text: &'static str, framing: AnswerFraming, end: AnswerEnd) -> StageReply {
    let media = "application/json";
    let answer = FramedAnswer { media, framing, text: text.to_owned(), end };
    let pieces = scripted(move |seen, _| answer.steps(seen));
    submit_piece(&split_relay(pieces.addr)).blocking_recv().expect("a reply")
}

#[test]
fn pieces_of_a_cut_answer_are_not_used() {
    let cut = "{\"results\":[{\"Ok\":\"h\"}]";
    let whole = "{\"results\":[{\"Ok\":\"h\"}]}";
    for framing in [AnswerFraming::Length, AnswerFraming::Chunked, AnswerFraming::Close] {
        for end in [AnswerEnd::Framed, AnswerEnd::Closed, AnswerEnd::Reset] {
            let reply = reply_to_piece(cut, framing, end);

            assert!(reply.answer.is_err(), "{framing:?} {end:?}");
        }

        let reply = reply_to_piece(whole, framing, AnswerEnd::Framed);

        assert!(reply.answer.is_ok(), "{framing:?}");
    }
}

#[test]
fn a_running_call_is_answered_after_its_domain_goes_out_of_service() {
    let pieces = scripted(|seen, _| {
        let body = signed_ok(seen, "{\"results\":[{\"Ok\":\"h\"}]}");
        vec![Step::Wait(Duration::from_millis(300)), Step::Send(body)]
    });
    let relay = split_relay(pieces.addr);

    let answer = submit_piece(&relay);
    sleep(Duration::from_millis(100));
    relay.tables.send_modify(|it| {
        let out = "d".parse().expect("a name");
        Arc::make_mut(it).out_domains.insert(out);
    });
    let reply = answer.blocking_recv();

    let made = reply.expect("a reply").answer.expect("the piece was made");
    assert_eq!(made[0].handle.to_string(), "h");
}

#[test]
fn a_stream_with_content_length_keeps_its_connection() {
    let backend = healthy("fine");
    let relay = start(catalog(route(RetryPolicy::Stream)), &app_endpoint(&backend));

    let got = [call(&relay, &request("id1", "", "")), call(&relay, &request("id2", "", ""))];

    assert!(got.iter().all(|it| it.status == 200 && it.complete));
    let connections: Vec<_> = backend.received().iter().map(|it| it.connection).collect();
    assert_eq!(connections[0], connections[1], "the connection is reused");
}

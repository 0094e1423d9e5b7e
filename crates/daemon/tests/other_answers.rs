//! Answers on a connection to an endpoint that belong to something else.

mod relaying;

use {
    coord::catalog::RetryPolicy,
    harness::RawResponse,
    relaying::{call, catalog, endpoint, not_run, request, route, scripted, signed_ok, start},
    socket2::{Domain, SockRef, Socket, Type},
    standin::{AnswerEnd, AnswerFraming, FramedAnswer, ReceivedRequest, Step, signed_response},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

const KEEP_ALIVE: &str = "keep-alive: timeout=5\r\n";
/// The time in which bytes on a loopback connection have arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// So many that each of two endpoints gets one, whichever are chosen.
const MAX_REQUESTS: usize = 60;

/// A signed answer that keeps its connection.
fn kept(seen: &ReceivedRequest) -> Vec<u8> {
    signed_response(seen, "200 OK", &format!("{KEEP_ALIVE}content-length: 4\r\n"), "fine")
}

#[test]
fn an_old_refusal_that_comes_instead_of_an_answer_is_no_proof_that_a_request_has_not_run() {
    let repeats = scripted(|seen, number| match number {
        0 => vec![Step::Send(kept(seen))],
        _ => vec![Step::Send(not_run("503 Service Unavailable")), Step::Wait(ARRIVAL_TIME)],
    });
    let other = scripted(|seen, _| vec![Step::Send(signed_ok(seen, "again"))]);
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", repeats.addr)]);
    let first = call(&relay, &request("id1", "", ""));
    relay.tables.send_modify(|tables| {
        let row = endpoint("f", "app", other.addr);
        std::sync::Arc::make_mut(tables).endpoints.insert(row.name.clone(), row);
    });
    sleep(ARRIVAL_TIME);

    let mut answers = Vec::new();
    while repeats.received().len() < 2 && answers.len() < MAX_REQUESTS {
        let id = format!("id{}", answers.len() + 2);
        answers.push(call(&relay, &request(&id, "", "")).status);
    }

    assert_eq!(first.status, 200);
    let seen = repeats.received();
    let reused = seen.iter().filter(|it| it.connection == seen[0].connection).count();
    assert!(reused > 1, "the connection is used again");
    let id = seen[1].header("mangobend-request").expect("an id").to_owned();
    let sent = other.received();
    assert!(sent.iter().all(|it| it.header("mangobend-request") != Some(&id)), "{id} runs twice");
    assert!(answers.contains(&502), "whoever was answered by an old refusal isn't told 'not run'");
}

#[test]
fn an_old_refusal_behind_an_answer_is_not_taken_for_the_next() {
    let backend = scripted(|seen, _| {
        let bytes = [kept(seen), not_run("503 Service Unavailable")];
        vec![Step::Send(bytes.concat())]
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", backend.addr)]);

    let answers: Vec<u16> =
        (0..20).map(|it| call(&relay, &request(&format!("id{it}"), "", "")).status).collect();

    assert_eq!(answers, [200; 20]);
}

#[test]
fn an_old_refusal_that_arrives_later_spoils_the_connection() {
    let backend = scripted(|seen, _| {
        let late = Duration::from_millis(10);
        let refusal = not_run("503 Service Unavailable");
        vec![Step::Send(kept(seen)), Step::Wait(late), Step::Send(refusal)]
    });
    let relay = start(catalog(route(RetryPolicy::Once)), &[endpoint("e", "app", backend.addr)]);

    let answers: Vec<u16> = (0..10)
        .map(|it| {
            sleep(ARRIVAL_TIME);
            call(&relay, &request(&format!("id{it}"), "", "")).status
        })
        .collect();

    assert_eq!(answers, [200; 10]);
}

#[test]
fn nothing_of_another_endpoints_error_comes_into_a_stream_that_has_begun() {
    let event = "id: 1\ndata: one\n\n";
    let breaks = scripted(move |seen, _| {
        let answer = FramedAnswer {
            media: "text/event-stream",
            framing: AnswerFraming::Chunked,
            text: event.to_owned(),
            end: AnswerEnd::Reset,
        };
        let mut steps = answer.steps(seen);
        steps.insert(1, Step::Wait(ARRIVAL_TIME));
        steps
    });
    let fails = scripted(|seen, _| {
        let head = "content-length: 12\r\n";
        let text = signed_response(seen, "500 Internal Server Error", head, "out of paste");
        vec![Step::Send(text)]
    });
    let rows = [endpoint("e", "app", breaks.addr), endpoint("f", "app", fails.addr)];
    let relay = start(catalog(route(RetryPolicy::ResumableStream)), &rows);

    let answers: Vec<_> =
        (0..12).map(|it| call(&relay, &request(&format!("id{it}"), "", ""))).collect();

    let begun: Vec<_> = answers.iter().filter(|it| it.status == 200).collect();
    assert!(!begun.is_empty(), "some requests go to the endpoint that begins streams");
    for got in begun {
        let text = got.text();
        assert!(!got.complete, "it doesn't end as complete: {text}");
        assert!(text.contains(event) && !text.contains("HTTP/1.1") && !text.contains("paste"));
    }
}

/// Starts an endpoint that answers an upload at once with a part of a body without a length,
/// and resets the connection some time later. It takes in so little of the upload that this
/// is still being written then.
fn start_early_reset(headers: &'static str, reset_after: Duration) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a buffer size can be set");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(8).expect("a bound socket can listen");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut head = [0; 2048];
            let count = stream.read(&mut head).unwrap_or_default();
            let seen = ReceivedRequest {
                connection: 0,
                head: String::from_utf8_lossy(&head[..count]).into_owned(),
                body: Vec::new(),
                at: Instant::now(),
            };
            let part = signed_response(&seen, "200 OK", headers, "id: 1\ndata: one\n\n");
            let _ = stream.write_all(&part);
            sleep(reset_after);
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    addr
}

fn call_early_reset(
    retry: RetryPolicy,
    headers: &'static str,
    reset_after: Duration,
) -> RawResponse {
    let addr = start_early_reset(headers, reset_after);
    let relay = start(catalog(route(retry)), &[endpoint("e", "app", addr)]);
    call(&relay, &request("id1", "", &"x".repeat(3 << 20)))
}

const RESET_TIMES_MS: [u64; 6] = [0, 1, 3, 10, 30, 100];

#[test]
fn a_part_of_an_answer_to_an_upload_that_is_reset_is_no_complete_answer() {
    for reset_after in RESET_TIMES_MS.map(Duration::from_millis) {
        let got = call_early_reset(RetryPolicy::Once, "", reset_after);

        assert_eq!(got.status, 502, "reset after {reset_after:?}");
    }
}

#[test]
fn a_part_of_a_stream_to_an_upload_that_is_reset_is_no_complete_stream() {
    for reset_after in RESET_TIMES_MS.map(Duration::from_millis) {
        let got = call_early_reset(
            RetryPolicy::Stream,
            "content-type: text/event-stream\r\n",
            reset_after,
        );

        assert!(got.status != 200 || !got.complete, "reset after {reset_after:?}: {}", got.text());
    }
}

#[test]
fn an_answer_with_the_status_000_is_no_answer() {
    for retry in [RetryPolicy::Once, RetryPolicy::Stream] {
        let backend = scripted(|seen, _| {
            let answer = signed_response(seen, "000 None", "content-length: 2\r\n", "ok");
            vec![Step::Send(answer)]
        });
        let relay = start(catalog(route(retry)), &[endpoint("e", "app", backend.addr)]);

        let got = call(&relay, &request("id1", "", ""));

        assert_eq!(got.status, 502, "{}", got.text());
    }
}

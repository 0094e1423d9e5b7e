//! Relayed answers of endpoints that end them in any way, through a real daemon.

use {
    coord::catalog::RetryPolicy,
    harness::{
        Cluster, ClusterSpec, LONG_TIMEOUT, RawResponse, connect, exchange, relay_catalog,
        relay_endpoint, relay_request, relay_route, wait_until,
    },
    standin::{AnswerEnd, AnswerFraming, FramedAnswer, ScriptedEndpoint},
    std::sync::{Arc, Mutex},
};

const EVENT_STREAM: &str = "text/event-stream";
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// `EVENTS`, cut inside the last event.
const CUT_EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: t";
const FRAMINGS: [AnswerFraming; 3] =
    [AnswerFraming::Length, AnswerFraming::Chunked, AnswerFraming::Close];

/// A daemon with a stream route to an endpoint whose answer can be changed.
struct System {
    cluster: Cluster,
    backend: ScriptedEndpoint,
    answer: Arc<Mutex<FramedAnswer>>,
}

fn whole_answer() -> FramedAnswer {
    FramedAnswer {
        media: EVENT_STREAM,
        framing: AnswerFraming::Length,
        text: EVENTS.to_owned(),
        end: AnswerEnd::Framed,
    }
}

fn start(retry: RetryPolicy) -> System {
    let spec = ClusterSpec {
        args: ["--relay-listen", "127.0.0.1:0"].map(ToOwned::to_owned).to_vec(),
        ..ClusterSpec::new(1, 0)
    };
    let cluster = spec.start();
    let answer = Arc::new(Mutex::new(whole_answer()));
    let shared = answer.clone();
    let backend = ScriptedEndpoint::start(Box::new(move |seen, _| {
        shared.lock().expect("no thread panics while it holds the lock").steps(seen)
    }));
    let catalog = relay_catalog(relay_route(retry));
    let posted = cluster.operator().post::<serde_json::Value>("/v1/catalog", &catalog);
    posted.expect("the catalog is accepted");
    let system = System { cluster, backend, answer };
    wait_until("the relay serves", LONG_TIMEOUT, || system.call(whole_answer()).status == 200);
    system
}

impl System {
    /// Sends a request that the endpoint answers like this.
    fn call(&self, answer: FramedAnswer) -> RawResponse {
        self.call_by("HTTP/1.1", answer)
    }

    /// As `call`, by a caller that speaks this version.
    fn call_by(&self, version: &str, answer: FramedAnswer) -> RawResponse {
        *self.answer.lock().expect("no thread panics while it holds the lock") = answer;
        let daemon = self.cluster.daemon(0);
        daemon.announce(&relay_endpoint("e", "app", self.backend.addr));
        let request = relay_request("id1", "", "").replace("HTTP/1.1", version);
        exchange(&mut connect(daemon.relay_addr()), &request)
    }

    /// Sends a request for each framing and way to end an answer with this text, and
    /// returns those whose response was complete to the caller.
    fn complete_endings(&self, text: &str, ends: &[AnswerEnd]) -> Vec<FramedAnswer> {
        let answers = FRAMINGS.iter().flat_map(|framing| {
            ends.iter().map(|end| FramedAnswer {
                media: EVENT_STREAM,
                framing: *framing,
                text: text.to_owned(),
                end: *end,
            })
        });
        answers.filter(|it| self.call(it.clone()).complete).collect()
    }
}

#[test]
fn a_whole_stream_is_complete_in_each_framing() {
    let system = start(RetryPolicy::Stream);

    let complete = system.complete_endings(EVENTS, &[AnswerEnd::Framed]);

    assert_eq!(complete.len(), FRAMINGS.len(), "{complete:?}");
}

#[test]
fn a_reset_stream_is_never_ended_as_complete() {
    let system = start(RetryPolicy::Stream);

    let complete = system.complete_endings(EVENTS, &[AnswerEnd::Reset]);

    assert!(complete.is_empty(), "{complete:?}");
}

#[test]
fn a_stream_that_ends_inside_an_event_is_never_ended_as_complete() {
    let system = start(RetryPolicy::Stream);
    let complete = system.complete_endings(CUT_EVENTS, &[AnswerEnd::Framed, AnswerEnd::Closed]);

    assert!(complete.is_empty(), "{complete:?}");
}

#[test]
fn a_stream_closed_before_its_first_event_is_never_ended_as_complete() {
    let system = start(RetryPolicy::Stream);

    let complete = system.complete_endings("", &[AnswerEnd::Closed]);

    assert!(complete.is_empty(), "{complete:?}");
}

#[test]
fn a_cut_stream_is_reset_for_a_caller_without_chunks() {
    let system = start(RetryPolicy::Stream);
    let answer = |text: &str| FramedAnswer {
        media: EVENT_STREAM,
        framing: AnswerFraming::Close,
        text: text.to_owned(),
        end: AnswerEnd::Closed,
    };

    let whole = system.call_by("HTTP/1.0", answer(EVENTS));
    let cut = system.call_by("HTTP/1.0", answer(CUT_EVENTS));

    assert!(whole.complete, "{whole:?}");
    assert_eq!((cut.status, cut.complete), (200, false), "{}", cut.text());
}

#[test]
fn whole_events_before_a_cut_reach_the_caller() {
    let system = start(RetryPolicy::Stream);
    let endings = FRAMINGS.map(|framing| FramedAnswer {
        media: EVENT_STREAM,
        framing,
        text: CUT_EVENTS.to_owned(),
        end: AnswerEnd::Closed,
    });

    for answer in endings {
        let got = system.call(answer);

        assert!(got.text().contains("data: one\n\n"), "{got:?}");
    }
}

#[test]
fn a_buffered_body_that_ends_inside_an_event_is_not_a_success() {
    let system = start(RetryPolicy::Once);
    let answer = FramedAnswer {
        media: EVENT_STREAM,
        framing: AnswerFraming::Close,
        text: CUT_EVENTS.to_owned(),
        end: AnswerEnd::Closed,
    };

    let got = system.call(answer);

    assert_eq!(got.status, 502, "{}", got.text());
}

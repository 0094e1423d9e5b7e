//! The routes of the operators' interface.

use {
    super::{
        CallerWatch, HttpReply, HttpService, OperatorAnswer, OperatorCall, OperatorRequest,
        is_authorized,
    },
    crate::{
        event::{Event, Inbox},
        memory::Memory,
        peers::{AdminAnswer, AdminRequest},
    },
    coord::{
        catalog::Catalog,
        memory::ConnectionClass,
        tables::{ChangeOutcome, OrderOutcome, Outcome},
        wire::{ChangeAnswer, ChangeRequest, OperatorError, RolloutRow, VoterRequest},
    },
    hyper::{Method, http::request::Parts},
    metrics_exporter_prometheus::PrometheusHandle,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::TcpListener,
        sync::{Arc, mpsc::sync_channel},
        time::Duration,
    },
    tokio::runtime::Handle,
};

/// The longest wait for the core loop's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves operators' requests and the metrics page `/metrics` on a listener.
pub fn serve(
    listener: TcpListener,
    secret: Arc<str>,
    inbox: Inbox,
    metrics: PrometheusHandle,
    memory: Memory,
) {
    let configurations = memory.configurations.clone();
    let handle = move |head: &Parts, body: String, caller: CallerWatch| -> HttpReply {
        if !is_authorized(head, &secret) {
            return error_reply(401, false, "the secret is wrong or missing");
        }
        if head.method == Method::GET && head.uri.path() == "/metrics" {
            return HttpReply { status: 200, content_type: "text/plain", body: metrics.render() };
        }
        let _turn = match (&head.method, head.uri.path()) {
            (&Method::POST, "/v1/catalog") => {
                let Some(it) = Handle::current().block_on(configurations.take()) else {
                    return error_reply(503, false, "another catalog is being taken");
                };
                Some(it)
            }
            _ => None,
        };
        match parse_request(head, &body) {
            Ok(request) => submit(&inbox, request, caller),
            Err(reply) => reply,
        }
    };
    let (class, rooms) = (ConnectionClass::Operators, memory.operators.clone());
    HttpService { part: "operators", class, rooms, handle: Box::new(handle) }
        .start(listener, memory);
}

fn parse_request(head: &Parts, body: &str) -> Result<OperatorRequest, HttpReply> {
    let admin = |it| Ok(OperatorRequest::Admin(it));
    match (&head.method, head.uri.path()) {
        (&Method::POST, "/v1/found") => Ok(OperatorRequest::Found),
        (&Method::POST, "/v1/changes") => parse::<ChangeRequest>(body).map(OperatorRequest::Change),
        (&Method::GET, "/v1/changes") => admin(AdminRequest::History),
        (&Method::GET, "/v1/tables") => admin(AdminRequest::Tables),
        (&Method::GET, "/v1/catalog") => admin(AdminRequest::Catalog),
        (&Method::POST, "/v1/catalog") => {
            let catalog: Catalog = parse(body)?;
            catalog.check().map_err(|err| error_reply(422, false, &err.to_string()))?;
            Ok(OperatorRequest::Catalog { catalog: Arc::new(catalog), document: body.into() })
        }
        (&Method::GET, "/v1/status") => admin(AdminRequest::Status),
        (&Method::GET, "/v1/rollouts") => admin(AdminRequest::Rollouts),
        (&Method::POST, "/v1/rollouts") => parse(body).map(OperatorRequest::StartRollout),
        (&Method::GET, "/v1/claims/unknown") => admin(AdminRequest::UnknownClaims),
        (&Method::POST, "/v1/claims/resolve") => parse(body).map(OperatorRequest::Resolve),
        (&Method::POST, "/v1/voters") => {
            let VoterRequest { instance, add } = parse(body)?;
            admin(if add {
                AdminRequest::AddVoter(instance)
            } else {
                AdminRequest::RemoveVoter(instance)
            })
        }
        _ => Err(error_reply(404, false, "there is no such page")),
    }
}

fn parse<T: DeserializeOwned>(body: &str) -> Result<T, HttpReply> {
    serde_json::from_str(body)
        .map_err(|err| error_reply(400, false, &format!("the body can't be understood: {err}")))
}

fn submit(inbox: &Inbox, request: OperatorRequest, caller: CallerWatch) -> HttpReply {
    let (respond, answers) = sync_channel(1);
    let change = match &request {
        OperatorRequest::Change(it) => Some(it.id),
        _ => None,
    };
    let respond = Box::new(move |answer| {
        // The receiver is gone if the wait has timed out.
        let _ = respond.send(answer);
    });
    if !inbox.offer(Event::Operator(OperatorCall { request, caller, is_late: false, respond })) {
        return error_reply(503, false, "too many events wait");
    }
    match answers.recv_timeout(ANSWER_TIMEOUT) {
        Ok(OperatorAnswer::Founded(system)) => json(200, &system),
        Ok(OperatorAnswer::Admin(it)) => admin_answer(&it),
        Ok(OperatorAnswer::Failed(it)) => json(503, &it),
        Ok(OperatorAnswer::Outcome(it)) => match (it, change) {
            (Outcome::Change(outcome), Some(id)) => {
                let status = match outcome {
                    ChangeOutcome::Accepted { .. } => 200,
                    ChangeOutcome::Conflict { .. } => 409,
                    ChangeOutcome::Invalid { .. } => 422,
                    ChangeOutcome::Expired { .. } => 410,
                };
                json(status, &ChangeAnswer { id, outcome })
            }
            (Outcome::Rollout(it), _) => order_answer(&it),
            (Outcome::Claim(Ok(_)), _) => json(200, "settled"),
            (Outcome::Claim(Err(err)), _) => error_reply(409, false, &err.to_string()),
            _ => json(200, "done"),
        },
        Err(_) => error_reply(504, true, "no answer came in time"),
    }
}

fn order_answer(outcome: &OrderOutcome) -> HttpReply {
    match outcome {
        OrderOutcome::Started { .. } | OrderOutcome::Repeated { .. } => json(200, outcome),
        OrderOutcome::Conflict { number, to } => {
            let detail = format!("rollout {number} of the pool, to {to}, is in progress");
            error_reply(409, false, &detail)
        }
        OrderOutcome::UnknownPool => error_reply(404, false, "there is no such pool"),
        OrderOutcome::Invalid { reason } => error_reply(400, false, reason),
        OrderOutcome::Overtaken => error_reply(503, false, "another order came first"),
    }
}

fn admin_answer(answer: &AdminAnswer) -> HttpReply {
    match answer {
        AdminAnswer::Status(it) => json(200, it),
        AdminAnswer::Tables(it) => json(200, it),
        AdminAnswer::History(it) => json(200, it),
        AdminAnswer::Claims(it) => json(200, it),
        AdminAnswer::Catalog(Some(it)) => {
            HttpReply { status: 200, content_type: "application/json", body: it.to_string() }
        }
        AdminAnswer::Catalog(None) => error_reply(404, false, "no catalog was accepted yet"),
        AdminAnswer::Done => json(200, "done"),
        AdminAnswer::Rollouts(it) => {
            json(200, &it.iter().map(RolloutRow::from).collect::<Vec<_>>())
        }
        AdminAnswer::RolloutStanding(it) => json(200, it),
    }
}

fn error_reply(status: u16, unknown: bool, detail: &str) -> HttpReply {
    json(status, &OperatorError { unknown, detail: detail.to_owned() })
}

fn json(status: u16, value: &(impl Serialize + ?Sized)) -> HttpReply {
    let body = serde_json::to_string(value).expect("the answer can be serialized as JSON");
    HttpReply { status, content_type: "application/json", body: body + "\n" }
}

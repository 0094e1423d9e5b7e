//! The HTTP server of a stand-in.

use {
    crate::{
        Control, Kind,
        endpoint::{Admission, StandIn},
    },
    coord::{
        ids::{AttemptId, Tokens},
        router::AttemptIdent,
        wire::{CancelRequest, RefusalBody, RunLine, RunRequest},
    },
    http_body_util::{BodyExt, Either, Full},
    hyper::{
        Method, Request, Response, StatusCode,
        body::{Body, Bytes, Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::mpsc, time::sleep},
};

type HttpResponse = Response<Either<Full<Bytes>, Lines>>;

/// A response body of JSON lines; an error aborts the connection.
struct Lines(mpsc::Receiver<Result<Bytes, io::Error>>);

impl Body for Lines {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.0.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data)))
    }
}

/// Serves a stand-in until the process exits.
pub async fn serve(listener: TcpListener, stand_in: Arc<StandIn>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let stand_in = stand_in.clone();
        tokio::spawn(async move {
            let service = service_fn(move |it| answer(stand_in.clone(), it));
            let server = http1::Builder::new();
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(
    stand_in: Arc<StandIn>,
    request: Request<Incoming>,
) -> Result<HttpResponse, io::Error> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::POST, "/run") => match parse::<RunRequest>(request).await {
            Some(run) => start_run(stand_in, run).await,
            None => Ok(status(StatusCode::BAD_REQUEST)),
        },
        (Method::POST, "/cancel") => {
            if let Some(it) = parse::<CancelRequest>(request).await {
                stand_in.cancel(it.ident.request, it.ident.attempt);
            }
            Ok(status(StatusCode::OK))
        }
        (Method::POST, "/control") => match parse::<Control>(request).await {
            Some(it) => {
                stand_in.set_control(it);
                Ok(status(StatusCode::OK))
            }
            None => Ok(status(StatusCode::BAD_REQUEST)),
        },
        (Method::GET, "/record") => Ok(json(StatusCode::OK, &stand_in.record())),
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

async fn start_run(stand_in: Arc<StandIn>, run: RunRequest) -> Result<HttpResponse, io::Error> {
    let cancel = match stand_in.admit(&run) {
        Admission::Accepted { cancel } => cancel,
        Admission::Refused { cold } => {
            let ident = Some(run.ident);
            let body = RefusalBody { outcome: "not_run".to_owned(), cold, ident };
            return Ok(json(StatusCode::SERVICE_UNAVAILABLE, &body));
        }
    };
    let (sender, lines) = mpsc::channel(64);
    let timeout = Duration::from_millis(run.deadline_ms);
    tokio::spawn(async move {
        let began = Instant::now();
        stand_in.acquire_slot(run.class).await;
        let completed = tokio::select! {
            completed = run_call(&stand_in, &run, &sender) => completed,
            () = cancel.notified() => false,
            () = sender.closed() => false,
            () = sleep(timeout) => false,
        };
        stand_in.release_slot();
        stand_in.finish(&run, began, completed);
        if !completed {
            let _ = sender.send(Err(io::Error::other("the call was aborted"))).await;
        }
    });
    Ok(Response::new(Either::Right(Lines(lines))))
}

type Sender = mpsc::Sender<Result<Bytes, io::Error>>;

/// Runs a call. Returns false if the connection is to be aborted.
async fn run_call(stand_in: &StandIn, run: &RunRequest, sender: &Sender) -> bool {
    let control = stand_in.control();
    let spec = &stand_in.spec;
    let size = run.input.len() as u64 * spec.size_ms / 1000;
    sleep(stand_in.scaled(spec.base_ms + size)).await;
    if control.unresponsive {
        std::future::pending::<()>().await;
    }
    stand_in.record_effect(run);
    if control.drop_answer || control.fail && spec.kind == Kind::Service {
        return false;
    }
    let pieces = spec.pieces.max(1);
    let mut order: Vec<u32> = (run.from_piece..pieces).collect();
    if control.reorder && order.len() > 1 {
        order.swap(0, 1);
    }
    for (i, number) in order.into_iter().enumerate() {
        sleep(stand_in.scaled(spec.piece_ms)).await;
        if control.fail && i > 0 || stand_in.control().unresponsive {
            if !control.fail {
                std::future::pending::<()>().await;
            }
            return false;
        }
        let piece = RunLine::Piece {
            ident: ident(run, &control),
            number,
            data: format!("{}:{number}{} ", run.ident.stage, request_tag(&run.input)),
        };
        let copies = if control.repeat { 2 } else { 1 };
        for _ in 0..copies {
            if sender.send(Ok(line(&piece))).await.is_err() {
                return false;
            }
        }
    }
    let tokens = Tokens(u64::from(pieces - run.from_piece.min(pieces)));
    let done = RunLine::Done { ident: ident(run, &control), pieces, tokens };
    sender.send(Ok(line(&done))).await.is_ok()
}

/// The tag at the end of the input's first word, such as `#17`, or an empty text.
/// It is copied into each piece, so that an answer can be matched to its request.
fn request_tag(input: &str) -> &str {
    let word = input.split_whitespace().next().unwrap_or("");
    word.find('#').map_or("", |at| &word[at..])
}

fn ident(run: &RunRequest, control: &Control) -> AttemptIdent {
    match control.wrong_ident {
        true => AttemptIdent { attempt: AttemptId(u64::MAX), ..run.ident.clone() },
        false => run.ident.clone(),
    }
}

async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

fn line(value: &impl Serialize) -> Bytes {
    let mut text = serde_json::to_vec(value).expect("a line serializes to JSON");
    text.push(b'\n');
    text.into()
}

fn json(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    let body = Either::Left(Full::new(line(value)));
    Response::builder().status(status).body(body).expect("the response head is valid")
}

fn status(status: StatusCode) -> HttpResponse {
    let body = Either::Left(Full::new(Bytes::new()));
    Response::builder().status(status).body(body).expect("the response head is valid")
}

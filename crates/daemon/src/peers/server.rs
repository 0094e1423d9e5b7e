//! The server for calls from peers.

use {
    super::{MAX_MESSAGE_BYTES, PeerAnswer, PeerCall, guarded_socket::GuardedSocket},
    crate::{
        event::{Event, Inbox},
        memory::{GuardedStream, Memory},
        relay::{BatcherEvent, StageReply, StageRequest, StoredResult},
        sockets::SocketBounds,
    },
    coord::{
        control::{Envelope, LeaderReport},
        ids::SystemId,
        memory::{ConnectionClass, ConnectionLimits},
        relay::Shard,
        time::Millis,
    },
    hyper::{
        Request, Response, StatusCode,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
        server::conn::http1,
        service::{Service, service_fn},
    },
    hyper_util::{rt::TokioIo, service::TowerToHyperService},
    jsonrpsee::{
        Methods, RpcModule,
        core::RegisterMethodError,
        server::{HttpBody, Server, ServerConfig, stop_channel},
        types::{ErrorObjectOwned, Params},
    },
    std::{future::ready, io, net::TcpListener, pin::Pin, sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
    tokio::{
        sync::{mpsc::UnboundedSender, oneshot},
        time::timeout,
    },
};

/// The most open connections from peers.
const MAX_CONNECTIONS: u32 = 1024;
/// The longest head of a request; those of peers have a few hundred bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// How long a connection may take until its client has shown the secret. Clients send it with
/// their first message, as soon as the connection is a web socket.
const PROOF_TIMEOUT: Millis = Millis(5000);
/// The longest wait for the core loop's answer to a call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const DENIED_CODE: i32 = -32001;
const BUSY_CODE: i32 = -32002;

type Answer = Pin<Box<dyn Future<Output = io::Result<Response<HttpBody>>> + Send>>;

struct Context {
    inbox: Inbox,
    secret: Arc<str>,
    batchers: UnboundedSender<BatcherEvent>,
}

/// Serves calls from peers on a listener until the process ends.
pub async fn serve(
    listener: TcpListener,
    secret: Arc<str>,
    inbox: Inbox,
    batchers: UnboundedSender<BatcherEvent>,
    memory: Memory,
) {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .ws_only()
        .set_tcp_no_delay(true)
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let mut module = RpcModule::new(Context { inbox, secret: secret.clone(), batchers });
    module
        .register_async_method(
            "call",
            |params, context, _| async move { call(params, &context).await },
        )
        .expect("the method name is unique");
    module
        .register_async_method("hello", |params, context, _| async move {
            hello(params, &context).await
        })
        .expect("the method name is unique");
    module
        .register_async_method("leader", |params, context, _| async move {
            find_leader(params, &context).await
        })
        .expect("the method name is unique");
    register_batcher_methods(&mut module).expect("the method names are unique");
    let (stop, _handle) = stop_channel();
    let acceptor = memory.acceptor("peers", ConnectionClass::Peers, MAX_CONNECTIONS as usize);
    let limits = ConnectionLimits {
        // A peer isn't closed for slow reading: peers bound their messages.
        write_timeout: Millis(u64::MAX),
        ..memory.limits(PROOF_TIMEOUT, PROOF_TIMEOUT)
    };
    let module = Methods::from(module);
    let accepted = |stream: GuardedStream| {
        if let Err(err) = SocketBounds::PEER.apply(stream.tcp()) {
            log::info!(error:% = err; "[peers] connection lost before its first call");
            return;
        }
        let watched = stream.guard().clone();
        let service = builder.clone().build(module.clone(), stop.clone());
        let mut server = http1::Builder::new();
        server.max_buf_size(MAX_HEADER_BYTES);
        let io = TokioIo::new(GuardedSocket::new(stream, secret.clone()));
        let service = TowerToHyperService::new(service);
        let checked = service_fn(move |request: Request<_>| {
            // A body would come between the head and the frames whose lengths are checked.
            let headers = request.headers();
            let has_body =
                [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|it| headers.contains_key(it));
            let answer: Answer = match has_body {
                true => Box::pin(ready(Ok(bad_request()))),
                false => {
                    let called = service.call(request);
                    Box::pin(async move { called.await.map_err(io::Error::other) })
                }
            };
            answer
        });
        let serving = server.serve_connection(io, checked).with_upgrades();
        tokio::spawn(async move {
            tokio::select! {
                // A peer that disconnects connects again.
                _ = serving => {}
                () = watched.closed() => {}
            }
        });
    };
    acceptor.accept(listener, || limits, accepted).await;
}

/// Registers the methods that are handled by this instance's batchers.
fn register_batcher_methods(module: &mut RpcModule<Context>) -> Result<(), RegisterMethodError> {
    module.register_async_method("gather", |params, context, _| async move {
        submit(params, &context).await
    })?;
    module.register_method("gather_cancel", |params, context, _| {
        let (secret, id): (String, u64) = params.parse()?;
        check_secret(&secret, context)?;
        send_to_batchers(context, BatcherEvent::Cancel(id))
    })?;
    module.register_method("gather_free", |params, context, _| {
        let (secret, shard, results): (String, Shard, Vec<StoredResult>) = params.parse()?;
        check_secret(&secret, context)?;
        send_to_batchers(context, BatcherEvent::Free { shard, results })
    })?;
    Ok(())
}

async fn submit(
    params: Params<'static>,
    context: &Context,
) -> Result<StageReply, ErrorObjectOwned> {
    let (secret, request): (String, Box<StageRequest>) = params.parse()?;
    check_secret(&secret, context)?;
    let (respond, answer) = oneshot::channel();
    send_to_batchers(context, BatcherEvent::Submit { request, respond })?;
    answer.await.map_err(|_| rpc_error(BUSY_CODE, "the pieces were dropped"))
}

fn send_to_batchers(context: &Context, event: BatcherEvent) -> Result<(), ErrorObjectOwned> {
    let sent = context.batchers.send(event);
    sent.map_err(|_| rpc_error(BUSY_CODE, "this instance doesn't gather"))
}

async fn call(params: Params<'static>, context: &Context) -> Result<PeerAnswer, ErrorObjectOwned> {
    let (secret, envelope): (String, Envelope<PeerCall>) = params.parse()?;
    check_secret(&secret, context)?;
    let (respond, answer) = oneshot::channel();
    let event = Event::Peer { call: Box::new(envelope), respond };
    if !context.inbox.offer(event) {
        return Err(rpc_error(BUSY_CODE, "the instance is busy"));
    }
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(rpc_error(BUSY_CODE, "the instance gave no answer")),
    }
}

async fn hello(
    params: Params<'static>,
    context: &Context,
) -> Result<Option<SystemId>, ErrorObjectOwned> {
    ask_core(params, context, |respond| Event::Hello { respond }).await
}

async fn find_leader(
    params: Params<'static>,
    context: &Context,
) -> Result<LeaderReport, ErrorObjectOwned> {
    ask_core(params, context, |respond| Event::FindLeader { respond }).await
}

/// Puts a question without parameters but the secret to the core loop.
async fn ask_core<T>(
    params: Params<'static>,
    context: &Context,
    question: fn(oneshot::Sender<T>) -> Event,
) -> Result<T, ErrorObjectOwned> {
    let (secret,): (String,) = params.parse()?;
    check_secret(&secret, context)?;
    let (respond, answer) = oneshot::channel();
    context.inbox.offer(question(respond));
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(rpc_error(BUSY_CODE, "the instance gave no answer")),
    }
}

fn check_secret(secret: &str, context: &Context) -> Result<(), ErrorObjectOwned> {
    match bool::from(secret.as_bytes().ct_eq(context.secret.as_bytes())) {
        true => Ok(()),
        false => Err(rpc_error(DENIED_CODE, "the secret is wrong")),
    }
}

fn bad_request() -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

fn rpc_error(code: i32, text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, None::<()>)
}

//! The server for calls from peers.

use {
    super::{MAX_MESSAGE_BYTES, PeerAnswer, PeerCall},
    crate::{
        event::{Event, Inbox},
        relay::{BatcherEvent, StageReply, StageRequest, StoredResult},
    },
    coord::{control::Envelope, ids::SystemId, relay::Shard},
    jsonrpsee::{
        RpcModule,
        core::RegisterMethodError,
        server::{Server, ServerConfig, ServerHandle},
        types::{ErrorObjectOwned, Params},
    },
    std::{io, net::TcpListener, sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
    tokio::{
        sync::{mpsc::UnboundedSender, oneshot},
        time::timeout,
    },
};

/// The most open connections from peers.
const MAX_CONNECTIONS: u32 = 1024;
/// The longest wait for the core loop's answer to a call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const DENIED_CODE: i32 = -32001;
const BUSY_CODE: i32 = -32002;

struct Context {
    inbox: Inbox,
    secret: Arc<str>,
    batchers: UnboundedSender<BatcherEvent>,
}

/// Serves calls from peers on a listener.
///
/// # Errors
/// The listener can't be used.
pub async fn serve(
    listener: TcpListener,
    secret: Arc<str>,
    inbox: Inbox,
    batchers: UnboundedSender<BatcherEvent>,
) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .ws_only()
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener)?;
    let mut module = RpcModule::new(Context { inbox, secret, batchers });
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
    register_batcher_methods(&mut module).expect("the method names are unique");
    Ok(server.start(module))
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
    let (secret,): (String,) = params.parse()?;
    check_secret(&secret, context)?;
    let (respond, answer) = oneshot::channel();
    context.inbox.offer(Event::Hello { respond });
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

fn rpc_error(code: i32, text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, text, None::<()>)
}

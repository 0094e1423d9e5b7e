//! Connections to other instances.

use {
    daemon::{
        event::{Event, Inbox},
        peers::{LeaderAnswer, Outgoing, PeerClient},
    },
    jsonrpsee::{RpcModule, server::Server},
    std::{
        net::SocketAddr,
        sync::mpsc::{Receiver, sync_channel},
        time::Duration,
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
        sync::mpsc::{UnboundedReceiver, unbounded_channel},
        time::timeout,
    },
};

const IDLE_TIME: Duration = Duration::from_millis(200);
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a peer that knows no method, like one of another build, behind a listener that
/// reports the end of each connection.
async fn start_peer() -> (SocketAddr, UnboundedReceiver<()>) {
    let server = Server::builder().build("127.0.0.1:0").await.expect("the server starts");
    let target = server.local_addr().expect("it has an address");
    let handle = server.start(RpcModule::new(()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("it has an address");
    let (ended, ends) = unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            let mut upstream = TcpStream::connect(target).await.expect("the server listens");
            let ended = ended.clone();
            tokio::spawn(async move {
                let _ = copy_bidirectional(&mut client, &mut upstream).await;
                let _ = ended.send(());
            });
        }
        handle.stop()
    });
    (addr, ends)
}

fn next_answer(events: &Receiver<Event>) -> LeaderAnswer {
    match events.recv_timeout(LONG_TIMEOUT) {
        Ok(Event::LeaderAnswered { answer, .. }) => answer,
        _ => panic!("no answer to the question who leads"),
    }
}

/// A connection that was only asked once stayed open for good if its peer was removed.
#[tokio::test(flavor = "multi_thread")]
async fn an_unused_connection_to_another_instance_ends_and_is_opened_anew() {
    let (peer, mut ends) = start_peer().await;
    let (sender, events) = sync_channel(16);
    let (outgoing, requests) = unbounded_channel();
    let client = PeerClient::new("secret".into(), Inbox::new(sender)).keep_idle(IDLE_TIME);
    tokio::spawn(client.run(requests));

    for _ in 0..2 {
        outgoing.send(Outgoing::FindLeader { to: peer }).expect("the client runs");
        let answer = tokio::task::block_in_place(|| next_answer(&events));
        let ended = timeout(LONG_TIMEOUT, ends.recv()).await;

        assert_eq!(answer, LeaderAnswer::UnknownQuestion);
        assert!(ended.is_ok_and(|it| it.is_some()), "the connection stays open");
    }
}

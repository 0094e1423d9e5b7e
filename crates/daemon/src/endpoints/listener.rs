//! The HTTP listener for announcements of endpoints.

use {
    crate::{
        event::{Event, Inbox},
        memory::Memory,
        operators::{HttpReply, HttpService, is_authorized},
    },
    coord::{memory::ConnectionClass, wire::Announcement},
    hyper::{Method, http::request::Parts},
    std::{net::TcpListener, sync::Arc},
};

/// Serves announcements of endpoints on a listener.
pub fn listen(listener: TcpListener, secret: Arc<str>, inbox: Inbox, memory: Memory) {
    let handle = move |request: &Parts, body: String, _| -> HttpReply {
        if !is_authorized(request, &secret) {
            return plain(401, "the secret is wrong or missing\n");
        }
        if request.method != Method::POST || request.uri.path() != "/v1/announce" {
            return plain(404, "there is no such page\n");
        }
        match serde_json::from_str::<Announcement>(&body) {
            Ok(it) => {
                match inbox.offer(Event::Announce { announcement: Box::new(it), committed: None }) {
                    true => plain(202, "heard\n"),
                    false => plain(503, "busy\n"),
                }
            }
            Err(err) => plain(400, &format!("the body can't be understood: {err}\n")),
        }
    };
    let (class, rooms) = (ConnectionClass::Announcements, memory.announcements.clone());
    HttpService { part: "endpoints", class, rooms, handle: Box::new(handle) }
        .start(listener, memory);
}

fn plain(status: u16, text: &str) -> HttpReply {
    HttpReply { status, content_type: "text/plain", body: text.to_owned() }
}

//! Takes announcements of endpoints.

use {
    crate::{
        event::{Event, Inbox},
        operators::{Handled, HttpService, is_allowed},
    },
    coord::wire::Announcement,
    hyper::{Method, http::request::Parts},
    std::{net::TcpListener, sync::Arc},
};

/// Serves announcing endpoints on a listener.
pub fn listen(listener: TcpListener, secret: Arc<str>, inbox: Inbox) {
    let handle = move |request: &Parts, body: String| -> Handled {
        if !is_allowed(request, &secret) {
            return text(401, "the secret is wrong or missing\n");
        }
        if request.method != Method::POST || request.uri.path() != "/v1/announce" {
            return text(404, "there is no such page\n");
        }
        match serde_json::from_str::<Announcement>(&body) {
            Ok(it) => {
                match inbox.offer(Event::Announce { announcement: Box::new(it), committed: None }) {
                    true => text(202, "heard\n"),
                    false => text(503, "busy\n"),
                }
            }
            Err(err) => text(400, &format!("the body can't be understood: {err}\n")),
        }
    };
    HttpService { part: "endpoints", handle: Box::new(handle) }.start(listener);
}

fn text(status: u16, text: &str) -> Handled {
    Handled { status, kind: "text/plain", body: text.to_owned() }
}

//! Answers of scripted endpoints, ended in any way.

use {
    crate::{ReceivedRequest, Step},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// What marks the end of an answer's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFraming {
    Length,
    Chunked,
    /// Neither a length nor chunks: the end of the connection.
    Close,
}

/// What an endpoint does after the bytes of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// Ends the body as its framing requires.
    Framed,
    /// Closes the connection without ending a length or chunks.
    Closed,
    /// Resets the connection without ending a length or chunks.
    Reset,
}

/// A successful answer.
#[derive(Debug, Clone)]
pub struct FramedAnswer {
    /// The content type.
    pub media: &'static str,
    pub framing: AnswerFraming,
    /// The bytes of the body, whole or not.
    pub text: String,
    pub end: AnswerEnd,
}

/// The bytes that an answer with a length promises and doesn't send, if it isn't
/// ended as framed.
const MISSING_BYTES: usize = 1000;

impl FramedAnswer {
    /// The steps that answer a request.
    pub fn steps(&self, seen: &ReceivedRequest) -> Vec<Step> {
        let framed = self.end == AnswerEnd::Framed;
        let missing = if framed { 0 } else { MISSING_BYTES };
        let text = &self.text;
        let (framing, body) = match self.framing {
            AnswerFraming::Length => {
                (format!("content-length: {}\r\n", text.len() + missing), text.clone())
            }
            AnswerFraming::Chunked => {
                let last = if framed { "0\r\n\r\n" } else { "" };
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                let chunk = if text.is_empty() { String::new() } else { chunk };
                ("transfer-encoding: chunked\r\n".to_owned(), chunk + last)
            }
            AnswerFraming::Close => (String::new(), text.clone()),
        };
        let head = format!("content-type: {}\r\n{framing}", self.media);
        let mut steps = vec![Step::Send(signed_response(seen, "200 OK", &head, &body))];
        match self.end {
            AnswerEnd::Framed if self.framing != AnswerFraming::Close => {}
            AnswerEnd::Framed | AnswerEnd::Closed => steps.push(Step::Close),
            AnswerEnd::Reset => steps.push(Step::Reset),
        }
        steps
    }
}

/// A response that echoes the request's id and is signed.
pub fn signed_response(seen: &ReceivedRequest, status: &str, headers: &str, body: &str) -> Vec<u8> {
    let id = seen.header("mangobend-request").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status}\r\nmangobend-request: {id}\r\nmangobend-signature: s\r\n{headers}\r\n"
    );
    (head + body).into_bytes()
}

/// The number of the next result.
static NEXT_RESULT: AtomicU64 = AtomicU64::new(0);

/// The body of an answer to a call of pieces: one result each, with a handle of its own.
pub fn piece_results(seen: &ReceivedRequest) -> String {
    let pieces = String::from_utf8_lossy(&seen.body).matches("\"number\":").count();
    let number = || NEXT_RESULT.fetch_add(1, Ordering::Relaxed);
    let handles: Vec<String> =
        (0..pieces).map(|_| format!("{{\"Ok\":\"h{}\"}}", number())).collect();
    format!("{{\"results\":[{}]}}", handles.join(","))
}

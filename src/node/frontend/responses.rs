//! What clients are answered.

use crate::driver::Answer;
use crate::upstream::ResponseBody;
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// When to come back to a node that is full, in seconds.
const RETRY_AFTER_WHEN_FULL: &str = "1";

/// A response as the client gets it.
pub(super) type ClientResponse = Response<ResponseBody>;

/// A response with a fixed text.
pub(super) fn plain(status: StatusCode, text: &'static str) -> ClientResponse {
    let mut response = Response::new(ResponseBody::buffered(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The same, and the end of its connection.
pub(super) fn closing(status: StatusCode, text: &'static str) -> ClientResponse {
    let mut response = plain(status, text);
    set_closing(&mut response);
    response
}

/// Has a response end its connection.
pub(super) fn set_closing(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// This node holds all that it can.
pub(super) fn full() -> ClientResponse {
    let mut response = closing(StatusCode::SERVICE_UNAVAILABLE, "full, try again later\n");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_WHEN_FULL));
    response
}

/// The final answer of a request, as the client sees it.
pub(super) fn from_answer(answer: Answer) -> ClientResponse {
    match answer {
        Answer::Served(reply) => {
            let mut response = Response::new(reply.body);
            if let Some(content_type) = reply.content_type {
                response.headers_mut().insert(CONTENT_TYPE, content_type);
            }
            response
        }
        Answer::Rejected { retry_after_ms } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
            let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0));
            if let Ok(seconds) = seconds
                && retry_after_ms > 0.0
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

//! Builds the responses to clients.

use crate::driver::Answer;
use crate::upstream::ResponseBody;
use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The Retry-After header of a full node, in seconds.
const FULL_RETRY_AFTER_SECONDS: &str = "1";

/// A response to a client, with a body that is buffered or streamed from an endpoint.
pub(super) type ClientResponse = Response<ResponseBody>;

/// Returns a response with a fixed text as its body.
pub(super) fn plain(status: StatusCode, text: &'static str) -> ClientResponse {
    let mut response = Response::new(ResponseBody::buffered(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns a response with a fixed text as its body, after which the connection is closed.
pub(super) fn closing(status: StatusCode, text: &'static str) -> ClientResponse {
    let mut response = plain(status, text);
    set_closing(&mut response);
    response
}

/// Adds the header `Connection: close`. hyper then closes the connection after the response.
pub(super) fn set_closing(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Returns the response of a node that has no capacity for another request.
pub(super) fn full() -> ClientResponse {
    let mut response = closing(StatusCode::SERVICE_UNAVAILABLE, "full, try again later\n");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(FULL_RETRY_AFTER_SECONDS));
    response
}

/// Returns the response that tells a client the final answer to its request.
pub(super) fn from_answer(answer: Answer) -> ClientResponse {
    match answer {
        Answer::Served(upstream_response) => {
            let mut response = Response::new(upstream_response.body);
            *response.headers_mut() = upstream_response.content_headers;
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

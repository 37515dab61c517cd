//! Handler for calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use kernel::admission::{self, Context, Target};
use kernel::outcome::Refusal;
use kernel::prelude::*;
use kernel::share::Cost;
use volo_http::request::Request;
use volo_http::response::Response;

use super::{HandlerResult, auth, error, read_body, text_response};
use crate::call::{self, Call};
use crate::shared::{Running, Shared};
use crate::{exit, limits, observe};

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Handles `/v1/services/{service}/{call}`.
pub(super) async fn call(
    shared: Arc<Shared>,
    path: (String, String),
    request: Request,
) -> HandlerResult {
    let id = shared.next_id();
    let (parts, body) = request.into_parts();
    let caller = auth::authenticate(&shared, &parts.headers)?;
    let requested =
        auth::header_number(&parts.headers, "x-request-timeout-ms")?.map(Duration::from_millis);
    let key = auth::header_text(&parts.headers, "idempotency-key").to_owned();
    if key.len() > MAX_KEY_BYTES {
        let what = format!("the idempotency key is longer than {MAX_KEY_BYTES} bytes");
        return Err(Refusal::Invalid(what, "send a shorter one".to_owned()));
    }
    let context = Context {
        plan: &caller.plan,
        target: Target::Service(&path.0),
        prompt_tokens: 0,
        answer_tokens: 0,
        time_limit: requested,
    };
    admission::check(&shared.settings.admission.rules, &context)?;
    let running = Running::try_start(&shared).ok_or(Refusal::Overloaded(Duration::from_secs(1)))?;
    let time_limit = admission::time_limit(&caller.plan, requested);
    let deadline = shared.now() + time_limit;
    let (body, hold) = read_body(&shared, body, time_limit).await?;
    let body = String::from_utf8(body).map_err(|_| {
        Refusal::Invalid("the body is not text".to_owned(), "send UTF-8".to_owned())
    })?;
    let permit = limits::acquire(&shared, &caller.workspace, Cost { tokens: 0 });
    let permit = exit::unless_closing(&shared, permit).await?;
    let call = Call {
        id,
        workspace: caller.workspace,
        service: Service::from(path.0),
        name: path.1,
        key,
        body,
        deadline,
        forwarded: false,
    };
    // The call runs in a task of its own, so it continues if the caller disconnects and its outcome
    // is still recorded.
    let task = tokio::spawn({
        let shared = Arc::clone(&shared);
        async move {
            let outcome = call::run(&shared, call).await;
            drop((running, permit, hold));
            outcome
        }
    });
    let outcome = task
        .await
        .unwrap_or_else(|_| Err(Refusal::Unknown("(not available)".to_owned())));
    Ok(respond(&shared, id, outcome))
}

/// Records the outcome of a call and builds its response.
fn respond(
    shared: &Shared,
    id: kernel::request::Id,
    outcome: Result<kernel::claim::Answer, Refusal>,
) -> Response {
    let answer = match outcome {
        Ok(answer) => answer,
        Err(refusal) => {
            observe::count_request(refusal.code());
            shared.record(id, refusal.code(), refusal.to_string());
            return error::response(&refusal, Some(id));
        }
    };
    observe::count_request("whole");
    shared.record(id, "whole", format!("status={}", answer.status));
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = text_response(status, answer.body);
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    error::set_request_id(&mut response, id);
    response
}

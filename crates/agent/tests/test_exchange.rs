//! Tests of reading requests and writing replies.

use actix_http::Method;
use actix_http::Request;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::test::TestRequest;
use googletest::prelude::*;
use jy_agent::exchange::ExchangeReply;
use jy_agent::exchange::RequestExchange;
use jy_agent::exchange::read_refusal;
use jy_agent::exchange::request_id;
use jy_types::request::ProblemDetails;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use jy_types::time::WallMillis;

/// Creates a request.
fn request(path: &str, headers: &[(&'static str, &'static str)]) -> Request {
    let mut request = TestRequest::default();
    request.uri(path).method(Method::POST);
    for header in headers {
        request.insert_header(*header);
    }
    request.finish()
}

/// Reads a request.
///
/// # Errors
///
/// Returns the refusal if the request is invalid.
fn read_exchange(
    path: &str,
    headers: &[(&'static str, &'static str)],
) -> Result<RequestExchange, Refusal> {
    let request = request(path, headers);
    RequestExchange::new(&request, request_id(&request), WallMillis(7))
}

#[gtest]
fn new_reads_path_target() -> Result<()> {
    let exchange = read_exchange("/w/seals/verifier/serials/1?x=2", &[("jy-key", "k")])
        .ok()
        .or_fail()?;
    expect_that!(&*exchange.workspace, eq("seals"));
    expect_that!(&*exchange.service, eq("verifier"));
    expect_that!(&*exchange.path, eq("/serials/1?x=2"));
    expect_that!(exchange.bare_path(), eq("/serials/1"));
    expect_that!(exchange.key.as_deref(), some(eq("k")));
    expect_that!(exchange.received, eq(WallMillis(7)));
    Ok(())
}

#[gtest]
fn new_refuses_missing_service() {
    let refusal = read_exchange("/x", &[("jy-workspace", "seals")]).err();
    let kind = refusal.map(|refusal| (refusal.kind, refusal.ran));
    expect_that!(kind, some(eq((RefusalKind::BadRequest, RunState::No))));
}

#[gtest]
fn new_names_invalid_header() -> Result<()> {
    let headers = [
        ("jy-workspace", "a"),
        ("jy-service", "b"),
        ("jy-timeout-ms", "soon"),
    ];
    let refusal = read_exchange("/x", &headers).err().or_fail()?;
    expect_that!(&*refusal.detail, contains_substring("jy-timeout-ms"));
    Ok(())
}

#[gtest]
fn new_drops_non_forwarded_headers() -> Result<()> {
    let headers = [
        ("jy-key", "k"),
        ("connection", "close"),
        ("accept", "text/plain"),
    ];
    let exchange = read_exchange("/w/a/b/", &headers).ok().or_fail()?;
    expect_true!(exchange.headers.contains_key("accept"));
    expect_false!(exchange.headers.contains_key("connection"));
    expect_false!(exchange.headers.contains_key("jy-key"));
    Ok(())
}

#[gtest]
fn new_treats_empty_ids_as_absent() -> Result<()> {
    let headers = [
        ("jy-key", ""),
        ("idempotency-key", ""),
        ("jy-request-id", ""),
    ];
    let exchange = read_exchange("/w/a/b/", &headers).ok().or_fail()?;
    expect_that!(exchange.key, none());
    expect_that!(exchange.idempotency_key, none());
    expect_that!(exchange.request_id.len(), gt(0));
    Ok(())
}

#[gtest]
fn digest_differs_by_body() -> Result<()> {
    let exchange = read_exchange("/w/a/b/c", &[]).ok().or_fail()?;
    let first = exchange.clone().with_body("1".into()).digest();
    expect_that!(first, not(eq(exchange.with_body("2".into()).digest())));
    Ok(())
}

#[gtest]
fn read_refusal_restores_refusal_of_another_agent() -> Result<()> {
    let refusal = Refusal::with_unknown_outcome("no answer");
    let answer = ExchangeReply::Refused(refusal.clone()).into_answer("r-1", false);
    let text = serde_json::to_string(&ProblemDetails::new(&refusal, "r-1")).or_fail()?;
    let read = read_refusal(answer.headers(), text.as_bytes());
    expect_that!(read, some(eq(&refusal)));
    Ok(())
}

#[gtest]
fn read_refusal_ignores_answers_of_backend_server() {
    let mut headers = HeaderMap::new();
    let name = HeaderName::from_static("content-type");
    headers.insert(name, HeaderValue::from_static("application/problem+json"));
    expect_that!(read_refusal(&headers, b"{}"), none());
}

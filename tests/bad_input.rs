//! Invalid requests get the documented status and error code; errors in settings name the field.

use std::process::Command;

use googletest::prelude::*;
use http::{Method, Request};

use crate::{
    launcher,
    support::{
        callers::{Caller, draft_body, draft_request},
        fleet::{Fleet, FleetPlan, LEDGER, MODEL},
        ports::output,
    },
};

/// An invalid request with the expected status and error code.
struct BadRequest {
    /// Label in failure messages.
    name: &'static str,
    caller: Caller,
    request: http::request::Builder,
    body: Vec<u8>,
    status: u16,
    code: &'static str,
}

fn bad_requests() -> Vec<BadRequest> {
    let valid = || draft_body(MODEL, "p", 1, false).into_bytes();
    let caller = || Caller::new("dues");
    let post = |path: &str| Request::builder().method(Method::POST).uri(path);
    let row = |name, caller, request, body, status, code| BadRequest {
        name,
        caller,
        request,
        body,
        status,
        code,
    };
    let mut wrong_secret = caller();
    wrong_secret.secret = "wrong".into();
    vec![
        row("broken JSON", caller(), draft_request(), b"{".to_vec(), 400, "bad_body"),
        row("no model", caller(), draft_request(), b"{}".to_vec(), 400, "bad_body"),
        row(
            "unknown model",
            caller(),
            draft_request(),
            draft_body("gpt", "p", 1, false).into_bytes(),
            404,
            "unknown_service",
        ),
        row(
            "unknown account",
            Caller::new("nobody"),
            draft_request(),
            valid(),
            401,
            "unknown_account",
        ),
        row("wrong secret", wrong_secret, draft_request(), valid(), 401, "unknown_account"),
        row(
            "bad deadline",
            caller(),
            post("/v1/completions").header("x-deadline-ms", "soon"),
            valid(),
            400,
            "bad_deadline",
        ),
        row(
            "bad request id",
            caller(),
            draft_request().header("x-request-id", "a b"),
            valid(),
            400,
            "bad_request_id",
        ),
        row(
            "key that is not a version 7 UUID",
            caller(),
            post(&format!("/services/{LEDGER}/x"))
                .header("idempotency-key", "f47ac10b-58cc-4372-a567-0e02b2c3d479"),
            b"x".to_vec(),
            400,
            "bad_idempotency_key",
        ),
        row(
            "expired idempotency key",
            caller(),
            post(&format!("/services/{LEDGER}/x"))
                .header("idempotency-key", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
            b"x".to_vec(),
            409,
            "expired_idempotency_key",
        ),
        row("unknown path", caller(), post("/v2/other"), valid(), 404, "unknown_path"),
        row(
            "wrong method",
            caller(),
            Request::get("/v1/completions"),
            Vec::new(),
            405,
            "bad_method",
        ),
        row(
            "oversize body",
            caller(),
            draft_request(),
            vec![b' '; (4 << 20) + 1],
            413,
            "body_too_large",
        ),
        row(
            "unknown service",
            caller(),
            post("/services/other/x"),
            b"x".to_vec(),
            404,
            "unknown_service",
        ),
    ]
}

#[gtest]
#[tokio::test]
async fn bad_requests_get_documented_errors() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let entry = fleet.entries[0].listen;
    for row in bad_requests() {
        let Some(answer) = row.caller.send(entry, row.request, row.body).await else {
            add_failure!("{}: connection closed without an answer", row.name);
            continue;
        };
        expect_that!(answer.status, eq(row.status), "{}: {}", row.name, answer.text());
        expect_that!(answer.error().0, eq(row.code), "{}", row.name);
        expect_that!(answer.headers.contains_key("x-request-id"), eq(true), "{}", row.name);
    }
    let oversize = Request::get("/v1/completions").header("x-long", "a".repeat(40 << 10));
    let answer = Caller::new("dues").send(entry, oversize, "").await;
    expect_that!(answer.is_none_or(|it| it.status == 431), eq(true), "oversize request head");
    expect_that!(
        fleet
            .engines
            .values()
            .map(|it| it.started.load(std::sync::atomic::Ordering::SeqCst))
            .sum::<u64>(),
        eq(0)
    );
}

#[gtest]
#[tokio::test]
async fn missing_api_key_is_refused() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let address = fleet.entries[0].listen;
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = Request::post("/v1/completions")
        .body(http_body_util::Full::new(bytes::Bytes::from_static(b"{}")))
        .unwrap();
    let answer =
        crate::support::callers::read_answer(sender.send_request(request).await.unwrap()).await;
    expect_that!(answer.status, eq(401));
    expect_that!(answer.error(), eq(&("missing_key".to_owned(), "not_run".to_owned())));
}

#[gtest]
fn settings_errors_name_the_field() {
    let sample = include_str!("../docs/settings-entry.json");
    let rows = [
        (sample.replace("\"vm\"", "\"vmm\""), "identity.vmm"),
        (
            sample.replace("\"max_connections\": 4096", "\"max_connections\": 0"),
            "http.max_connections",
        ),
        (
            sample.replace("\"max_attempts\": 4", "\"max_attempts\": \"x\""),
            "role.entry.attempts.max_attempts",
        ),
        (sample.replace("entry-south-a-0", "a b"), "identity.vm"),
        ("{".to_owned(), "at"),
    ];
    let folder = tempfile::tempdir().unwrap();
    for (n, (text, field)) in rows.into_iter().enumerate() {
        let path = folder.path().join(format!("{n}.json"));
        std::fs::write(&path, text).unwrap();
        let output = check_settings(&path);
        expect_that!(output.status.code(), some(eq(1)));
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(stderr, contains_substring(field));
    }
}

#[gtest]
fn sample_settings_are_valid() {
    for sample in [
        "settings-entry.json",
        "settings-agent.json",
        "settings-gateway.json",
        "settings-rank-agent.json",
    ] {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs").join(sample);
        let output = check_settings(&path);
        expect_that!(
            output.status.code(),
            some(eq(0)),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
}

fn check_settings(path: &std::path::Path) -> std::process::Output {
    let mut command = Command::new(launcher().program);
    output(command.arg("--check-settings").arg("--settings").arg(path))
}

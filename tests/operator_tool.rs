//! Runs the operator tool `alderbayctl` against a running fleet.

use std::process::{Command, Output};

use googletest::prelude::*;

use crate::{
    launcher,
    support::{
        callers::{Caller, draft_body, draft_request},
        fleet::{Fleet, FleetPlan, MODEL},
        ports::output,
    },
};

/// Addresses that the operator tool is started with.
struct OperatorTool {
    log_service: String,
    vm_list: String,
}

impl OperatorTool {
    fn new(fleet: &Fleet) -> Self {
        Self {
            log_service: fleet.log_address.to_string(),
            vm_list: fleet.operator_list.address.to_string(),
        }
    }

    /// Runs the tool and returns its exit code and its output. The tool runs on a blocking thread,
    /// as the test servers that it calls need the runtime's threads.
    async fn run(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_alderbayctl"));
        command.args(["--log-service", &self.log_service, "--vm-list", &self.vm_list]);
        command.args(arguments).env("USER", "operator");
        let output: Output =
            tokio::task::spawn_blocking(move || output(&mut command)).await.unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lists_are_published() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let tool = OperatorTool::new(&fleet);
    let (code, output) = tool.run(&["lists", "show"]).await;
    assert_that!(code, some(eq(0)), "{output}");
    let mut lists: serde_json::Value = serde_json::from_str(&output).unwrap();
    lists["plans"]["gold"]["concurrency"] = 7.into();
    let file = fleet.folder.path().join("lists.json");
    std::fs::write(&file, lists.to_string()).unwrap();
    let file = file.to_str().unwrap();

    let (code, output) = tool.run(&["lists", "check", file]).await;
    expect_that!(code, some(eq(0)), "{output}");
    expect_that!(output, contains_substring("\"concurrency\":7"));
    let (code, output) = tool.run(&["lists", "publish", file]).await;
    expect_that!(code, some(eq(1)), "published without --yes: {output}");
    let (code, output) = tool.run(&["lists", "publish", "--yes", "--reason", "test", file]).await;
    expect_that!(code, some(eq(0)), "{output}");
    expect_that!(output, contains_substring("in force everywhere"));

    lists["accounts"]["dues"]["plan"] = "none".into();
    std::fs::write(fleet.folder.path().join("lists.json"), lists.to_string()).unwrap();
    let (code, output) = tool.run(&["lists", "publish", "--yes", file]).await;
    expect_that!(code, some(eq(4)), "{output}");
    expect_that!(output, contains_substring("there is no plan none"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domain_drains_and_returns() {
    let mut fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let tool = OperatorTool::new(&fleet);
    let (code, output) = tool.run(&["domain", "out", "south-b"]).await;
    expect_that!(code, some(eq(0)), "{output}");
    let (_, status) = tool.run(&["status"]).await;
    expect_that!(status.matches(" out ").count(), eq(3), "{status}");
    let (code, output) = tool.run(&["domain", "in", "south-b"]).await;
    expect_that!(code, some(eq(0)), "{output}");
    let (code, audit) = tool.run(&["audit"]).await;
    expect_that!(code, some(eq(0)));
    expect_that!(audit, contains_substring("changed failure_domain/south-b"));
    expect_that!(audit, contains_substring("takes no new work since version 3"));

    // The tool names a dead process that the edit cannot reach.
    fleet.entries[0].kill();
    let (code, output) = tool.run(&["vm", "out", "engine-south-a-0", "--wait", "1"]).await;
    expect_that!(code, some(eq(5)), "{output}");
    expect_that!(output, contains_substring("entry-south-a-0"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_append_reply_publishes_once() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    fleet.log.fails_after_append.store(true, std::sync::atomic::Ordering::SeqCst);
    let (code, output) = OperatorTool::new(&fleet).run(&["vm", "out", "engine-south-a-0"]).await;
    expect_that!(code, some(eq(0)), "{output}");
    let edits = fleet.log.records(alderbay::platform::streams::CONFIG);
    expect_that!(edits, len(eq(3)), "the edit was appended twice");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_explained() {
    let fleet = Fleet::start(FleetPlan::default(), launcher()).await;
    let request = draft_request().header("x-request-id", "r-17");
    let body = draft_body(MODEL, "p", 2, true);
    Caller::new("dues").send(fleet.entries[0].listen, request, body).await.unwrap();
    let tool = OperatorTool::new(&fleet);
    let (code, output) = tool.run(&["explain", "r-17"]).await;
    expect_that!(code, some(eq(0)), "{output}");
    expect_that!(output, contains_substring("sent to engine-south-a-0: answered"));
    let (code, _) = tool.run(&["explain", "r-18"]).await;
    expect_that!(code, some(eq(6)));
}

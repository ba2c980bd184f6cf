//! Shows what a gateway of the users' platform knows of servers that ended and of servers' limits, and
//! lifts blocks.

use std::{net::SocketAddr, time::Duration};

use volo_http::client::Client;

use super::{LimitArguments, OperatorError, QuarantineCommand, render::Output};
use crate::{
    gateway::{BlockedStatus, EXCHANGE_PATH, LIFT_PATH, LimitStatus, RecordStatus},
    platform::{PlatformError, get_json, post_json},
    units::InputDigest,
};

/// Timeout of a call to a gateway.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a command on the inputs that end servers.
pub(super) async fn run_quarantine(
    output: Output,
    command: QuarantineCommand,
) -> Result<(), OperatorError> {
    let client = Client::builder().build().map_err(PlatformError::Client)?;
    let status = match command {
        QuarantineCommand::List { gateway } => read_status(&client, gateway).await?,
        QuarantineCommand::Lift { gateway, input } => {
            let uri = format!("http://{gateway}{LIFT_PATH}?{input}");
            post_json(&client, uri, &(), CALL_TIMEOUT).await?
        }
    };
    let header = ["INPUT", "KIND", "ENDS", "TOGETHER WITH"];
    output.print_table(&status.blocked, &header, block_row)
}

/// Shows the limits that servers have named.
pub(super) async fn show_limits(
    output: Output,
    LimitArguments { gateway }: LimitArguments,
) -> Result<(), OperatorError> {
    let client = Client::builder().build().map_err(PlatformError::Client)?;
    let status = read_status(&client, gateway).await?;
    let header = ["SERVER", "REQUESTS A SECOND", "SHARE OF THIS GATEWAY"];
    let row = |it: &LimitStatus| {
        vec![it.server.to_string(), it.limit.to_string(), format!("{:.2}", it.share.per_second())]
    };
    output.print_table(&status.limits, &header, row)
}

async fn read_status(client: &Client, gateway: SocketAddr) -> Result<RecordStatus, PlatformError> {
    get_json(client, format!("http://{gateway}{EXCHANGE_PATH}"), CALL_TIMEOUT).await
}

fn block_row(BlockedStatus { part, blocked }: &BlockedStatus) -> Vec<String> {
    let kind = if blocked.combination.is_empty() { "request" } else { "prompt part" };
    let others = blocked.combination.iter().filter(|it| *it != part);
    let others: Vec<String> = others.map(InputDigest::to_string).collect();
    vec![part.to_string(), kind.to_owned(), blocked.end_count.to_string(), others.join(" ")]
}

//! Tasks that follow the platform's streams and append to them.

use std::sync::Arc;
use std::time::Duration;

use poplar_core::{ContractRecord, Offset};
use poplar_wire::MemberRecord;
use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use crate::contracts::Contracts;
use crate::directory::Directory;
use crate::platform::{Batch, LogRecord, Platform};

/// Stream of contract records.
const CONTRACTS: &str = "contracts";
/// Stream of member records.
const MEMBERS: &str = "members";
/// Shortest pause after a failure of the log.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause after a failure of the log.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Follows the members' stream for as long as the process lives.
pub(crate) async fn follow_members(platform: Platform, directory: Arc<Directory>, logger: Logger) {
    follow(platform, MEMBERS, logger, |record| {
        if let Ok(member) = serde_json::from_value::<MemberRecord>(record.body) {
            directory.learn(member);
        }
    })
    .await;
}

/// Follows the contracts' stream for as long as the process lives.
pub(crate) async fn follow_contracts(
    platform: Platform,
    contracts: Arc<Contracts>,
    logger: Logger,
) {
    let notes = logger.clone();
    follow(platform, CONTRACTS, logger, move |record| {
        let decoded = serde_json::from_value::<ContractRecord>(record.body).ok();
        let verdict = contracts.take(record.offset, decoded.as_ref());
        info!(notes, "contract record judged";
            "offset" => %record.offset, "verdict" => ?verdict);
    })
    .await;
}

/// Appends member records in order, each until the log has confirmed it.
pub(crate) async fn append_members(
    platform: Platform,
    mut records: mpsc::UnboundedReceiver<MemberRecord>,
    logger: Logger,
) {
    while let Some(record) = records.recv().await {
        let Ok(body) = serde_json::to_vec(&record) else { continue };
        let mut pause = PAUSE_MIN;
        while let Err(error) = platform.append(MEMBERS, body.clone().into()).await {
            warn!(logger, "append not confirmed"; "error" => %error);
            pause = next_pause(pause).await;
        }
    }
}

async fn follow(
    platform: Platform,
    stream: &'static str,
    logger: Logger,
    mut take: impl FnMut(LogRecord),
) {
    let mut next = Offset::default();
    let mut pause = PAUSE_MIN;
    loop {
        match platform.read(stream, next).await {
            Ok(Batch { start, records }) => {
                pause = PAUSE_MIN;
                next = next.max(start);
                for record in records {
                    next = Offset(record.offset.0 + 1);
                    take(record);
                }
            }
            Err(error) => {
                warn!(logger, "read failed"; "stream" => stream, "error" => %error);
                pause = next_pause(pause).await;
            }
        }
    }
}

/// Waits for `pause`, spread at random, and returns the next, longer pause.
async fn next_pause(pause: Duration) -> Duration {
    tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
    (pause * 2).min(PAUSE_MAX)
}

//! Reads rules and targets from the store, and writes the record of the own target there.
//!
//! A long read returns as soon as there is news, so the store is called as rarely as it can be.
//! When it fails, pauses grow and are drawn at random, because all nodes see the failure at once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{Offset, TargetRecord, backoff};
use poplar_kernel::Clock;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use super::own::Own;
use super::ports::{Page, Platform, Site, StoreError, StoreRecord, Stream};
use super::roster::Roster;
use super::rules::Rules;

/// Longest wait of one read; the store allows 30 s, and a silent connection shows after this.
const READ_WAIT: Duration = Duration::from_secs(20);
/// Mean pause after news of targets, so that the changes of a start or a release come in one page.
/// Peers tell each other meanwhile, and the node beside a target that leaves refuses by itself, so
/// that reading later costs a hop at most; reading at once costs a call for each change at each node.
const GATHER_TIME: Duration = Duration::from_millis(800);

/// Follows the store.
pub(crate) struct Follower<P> {
    pub(crate) clock: Clock,
    pub(crate) platform: Arc<P>,
    pub(crate) site: Arc<Site>,
    pub(crate) rules: Arc<Rules>,
    pub(crate) roster: Arc<Roster>,
    pub(crate) own: Arc<Own>,
    pub(crate) logger: Logger,
    /// Set once the records of all targets were read.
    pub(crate) read: watch::Sender<bool>,
}

impl<P: Platform> Follower<P> {
    /// Follows the rules for ever.
    pub(crate) async fn rules(self: Arc<Self>) {
        self.follow(Stream::Rules, |page| self.take_rules(page), Duration::ZERO).await;
    }

    /// Follows the records of targets for ever.
    pub(crate) async fn targets(self: Arc<Self>) {
        self.follow(Stream::Targets, |page| self.take_targets(page), GATHER_TIME).await;
    }

    /// Writes the record of the own target whenever it changes, until the store has it.
    pub(crate) async fn publish(self: Arc<Self>) {
        let key = self.site.key();
        loop {
            self.own.changed().await;
            let mut failures = 0;
            while let Some(record) = self.own.record() {
                let value = match rmp_serde::to_vec(&record) {
                    Ok(value) => value,
                    Err(error) => {
                        warn!(self.logger, "store: record not written"; "error" => %error);
                        break;
                    }
                };
                let published = self.platform.publish(&key, Bytes::from(value)).await;
                let current = self.own.record().is_some_and(|now| now == record);
                match published {
                    Ok(()) if current => break,
                    Ok(()) => failures = 0,
                    Err(error) => {
                        self.failed("publish", failures, &error);
                        tokio::time::sleep(backoff(failures, fastrand::u64(..))).await;
                        failures += 1;
                    }
                }
            }
        }
    }

    async fn follow(&self, stream: Stream, take: impl Fn(&Page), gather: Duration) {
        let mut next: Option<Offset> = None;
        let mut failures = 0;
        loop {
            let page = match next {
                None => self.platform.newest(stream).await,
                Some(from) => self.platform.read(stream, from, READ_WAIT).await,
            };
            match page {
                Ok(page) => {
                    if failures > 0 {
                        info!(self.logger, "store: regained"; "stream" => ?stream);
                    }
                    failures = 0;
                    take(&page);
                    next = Some(page.next);
                    if !page.records.is_empty() {
                        // Spread, because the news wakes all nodes at the same moment.
                        tokio::time::sleep(gather.mul_f64(0.5 + fastrand::f64())).await;
                    }
                }
                Err(StoreError::Truncated) => next = None,
                Err(error) => {
                    self.failed("read", failures, &error);
                    tokio::time::sleep(backoff(failures, fastrand::u64(..))).await;
                    failures += 1;
                }
            }
        }
    }

    fn take_rules(&self, page: &Page) {
        for record in &page.records {
            match self.platform.rules(record) {
                Ok(Some(rules)) => {
                    let revision = rules.revision;
                    let taken = self.rules.offer(self.clock.now(), rules);
                    info!(self.logger, "rules: read"; "revision" => revision.0, "in_force" => taken);
                }
                Ok(None) => {}
                Err(error) => {
                    warn!(self.logger, "rules: record ignored"; "key" => %record.key,
                        "error" => error);
                }
            }
        }
    }

    fn take_targets(&self, page: &Page) {
        for record in &page.records {
            self.take_target(record);
        }
        if !*self.read.borrow() {
            let own = self.site.key();
            let records = self.roster.records();
            if let Some(record) = records.iter().find(|record| record.peer == own) {
                self.own.adopt(record);
            }
            self.read.send_replace(true);
        }
    }

    fn take_target(&self, record: &StoreRecord) {
        let Some(value) = &record.value else {
            self.roster.forget(&record.key);
            return;
        };
        match rmp_serde::from_slice::<TargetRecord>(value) {
            Ok(target) if target.peer == record.key => {
                if self.roster.merge(target.clone()) {
                    info!(self.logger, "roster: changed"; "instance" => %target.instance,
                        "service" => %target.service, "stage" => ?target.stage,
                        "born" => target.age.born, "sequence" => target.age.sequence);
                }
            }
            Ok(_) | Err(_) => {
                warn!(self.logger, "roster: record ignored"; "key" => %record.key);
            }
        }
    }

    /// Logs the first failure of a row; the others follow from it.
    fn failed(&self, what: &'static str, failures: u32, error: &StoreError) {
        if failures == 0 {
            warn!(self.logger, "store: lost"; "call" => what, "error" => %error);
        }
    }
}

//! The exchange of the versions that began streams with the routers that keep them.

use std::sync::Arc;

use tokio::sync::oneshot;
use units::{host, time::Instant};
use wire::seal::Tag;

use super::{Frame, INTERVAL, task::Task};
use crate::{
    origins::{self, Answer, Key, Message, Record},
    source::{Member, Source},
};

/// How many rounds a record waits for a keeper that does not know this process yet.
const MAX_WAIT_ROUNDS: u32 = 10;

/// What this router keeps, asks and has not been able to send.
#[derive(Debug, Default)]
pub(super) struct Origins {
    table: origins::Table,
    lookups: origins::Lookups,
    unsent: Vec<Unsent>,
}

/// A record for a keeper that would discard it.
#[derive(Debug)]
struct Unsent {
    keeper: host::Id,
    record: Record,
    expires_at: Instant,
}

impl<S: Source> Task<S> {
    /// Processes a message of the tasks that serve requests.
    pub(super) async fn handle_origin(&mut self, message: Message) {
        match message {
            Message::Began(record) => self.record_origin(record).await,
            Message::Find(key, reply) => self.find_origin(key, reply).await,
        }
    }

    async fn record_origin(&mut self, record: Record) {
        let now = self.clock.now();
        self.origins.table.insert(&record, now);
        for keeper in self.other_keepers(record.key, origins::COPIES) {
            self.send_to(&Frame::Origins(vec![record.clone()]), &keeper)
                .await;
            // The datagram only introduced this process.
            if !self.is_introduced(&keeper) {
                self.origins.unsent.push(Unsent {
                    keeper: keeper.host,
                    record: record.clone(),
                    expires_at: now + INTERVAL * MAX_WAIT_ROUNDS,
                });
            }
        }
    }

    async fn find_origin(&mut self, key: Key, reply: oneshot::Sender<Answer>) {
        let known = self.origins.table.find(key, self.clock.now());
        if known != Answer::Unknown {
            // The caller may have left.
            drop(reply.send(known));
            return;
        }
        let keepers = self.other_keepers(key, origins::ASKED);
        let tags = keepers.iter().map(|keeper| Tag::new(&keeper.host));
        self.origins.lookups.start(key, tags, reply);
        for keeper in keepers {
            self.send_to(&Frame::OriginQuery(key), &keeper).await;
        }
    }

    /// Stores records that another router sent.
    pub(super) fn keep_origins(&mut self, records: &[Record]) {
        let now = self.clock.now();
        for record in records {
            self.origins.table.insert(record, now);
        }
    }

    /// Tells another router what is known of a stream.
    pub(super) async fn answer_origin(&mut self, key: Key, asker: Tag) {
        let Some(member) = self.member(asker) else {
            return;
        };
        let answer = self.origins.table.find(key, self.clock.now());
        self.send_to(&Frame::OriginAnswer(key, answer), &member)
            .await;
    }

    /// Applies the answer of another router.
    pub(super) fn receive_origin(&mut self, key: Key, from: Tag, answer: &Answer) {
        self.origins.lookups.answer(key, from, answer);
    }

    /// Sends the records that keepers have not received because they did not know this process,
    /// and drops what is over.
    pub(super) async fn repeat_origins(&mut self) {
        let now = self.clock.now();
        self.origins.table.expire(now);
        self.origins.lookups.prune();
        let members = Arc::clone(&self.inputs.members.borrow());
        for unsent in std::mem::take(&mut self.origins.unsent) {
            let mut members = members.iter();
            let Some(keeper) = members.find(|member| member.host == unsent.keeper) else {
                continue;
            };
            if self.is_introduced(keeper) {
                self.send_to(&Frame::Origins(vec![unsent.record]), keeper)
                    .await;
            } else if now < unsent.expires_at {
                self.origins.unsent.push(unsent);
            }
        }
    }

    /// The first `count` keepers of a stream, without this router.
    fn other_keepers(&self, key: Key, count: usize) -> Vec<Member> {
        let members = self.inputs.members.borrow();
        let keepers = origins::keepers(&members, key, count).into_iter();
        let own = &self.inputs.own.host;
        keepers
            .filter(|member| member.host != *own)
            .cloned()
            .collect()
    }
}

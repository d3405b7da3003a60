//! The exchange of the versions that began streams with the routers that keep them.

use std::{collections::BTreeMap, mem, sync::Arc};

use tokio::sync::oneshot;
use units::{host, pool, time::Instant};
use wire::seal::Tag;

use super::{Frame, INTERVAL, task::Task};
use crate::{
    lost_routers,
    origins::{self, Answer, Handover, Key, Message, Record, Renewals, Silence},
    source::{Member, Source},
};

/// How many rounds a record waits for a keeper that does not know this process yet.
const MAX_WAIT_ROUNDS: u32 = 10;

/// How many records are looked at in a round for routers that have become their keepers.
const HANDOVER_BATCH: usize = 512;
/// The most bytes of the records in one datagram.
const MAX_RECORDS_BYTES: usize = 1000;
/// The most bytes of a record beside the version: the key, and two lengths.
const RECORD_OVERHEAD: usize = 13;

/// What this router keeps, asks and has not been able to send.
#[derive(Debug, Default)]
pub(super) struct Origins {
    table: origins::Table,
    lookups: origins::Lookups,
    unsent: Vec<Unsent>,
    handover: Handover,
    silence: Silence,
    renewals: Renewals,
}

/// Records for a router that would discard them.
#[derive(Debug)]
struct Unsent {
    receiver: host::Id,
    frame: Frame,
    expires_at: Instant,
}

impl<S: Source> Task<S> {
    /// Processes a message of the tasks that serve requests.
    pub(super) async fn handle_origin(&mut self, message: Message) {
        match message {
            Message::Began(pool, record, lease) => {
                let now = self.clock.now();
                let has_several = self.inputs.history.borrow().has_several_versions(&pool);
                let renewals = &mut self.origins.renewals;
                renewals.began(pool, record.clone(), lease, now);
                self.record_origin(record).await;
                if has_several {
                    self.tell_journal().await;
                }
            }
            Message::Find(key, reply) => self.find_origin(key, reply).await,
        }
    }

    async fn record_origin(&mut self, record: Record) {
        let now = self.clock.now();
        self.origins.table.insert(&record, now);
        self.update_keepers(now);
        for keeper in self.other_keepers(record.key, origins::COPIES) {
            self.tell(Frame::Origins(vec![record.clone()]), &keeper)
                .await;
        }
    }

    /// Tells the router that writes the journal which streams it lacks.
    async fn tell_journal(&mut self) {
        let records = {
            let history = self.inputs.history.borrow_and_update();
            let is_needed = |pool: &pool::Id| history.has_several_versions(pool);
            self.origins.renewals.unjournaled(is_needed)
        };
        if records.is_empty() {
            return;
        }
        let own = &self.inputs.own;
        let members = self.origins.handover.members();
        let writer = origins::journal_writer(members, &own.zone).cloned();
        let Some(writer) = writer.filter(|writer| writer.host != own.host) else {
            self.write_journal(records);
            return;
        };
        for batch in batches(records) {
            self.tell(Frame::Journal(batch), &writer).await;
        }
    }

    /// Passes records on to the task that writes the journal.
    pub(super) fn write_journal(&self, records: Vec<Record>) {
        // The task lives as long as the process.
        drop(self.outputs.journal.send(records));
    }

    /// Sends records to a router, once more if it does not know this process yet.
    async fn tell(&mut self, frame: Frame, receiver: &Member) {
        self.send_to(&frame, receiver).await;
        // The datagram only introduced this process.
        if !self.is_introduced(receiver) {
            self.origins.unsent.push(Unsent {
                receiver: receiver.host.clone(),
                frame,
                expires_at: self.clock.now() + INTERVAL * MAX_WAIT_ROUNDS,
            });
        }
    }

    async fn find_origin(&mut self, key: Key, reply: oneshot::Sender<Answer>) {
        let known = self.origins.table.find(key, self.clock.now());
        if known != Answer::Unknown {
            // The caller may have left.
            drop(reply.send(known));
            return;
        }
        self.update_keepers(self.clock.now());
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

    /// Records that another router has started.
    pub(super) fn origin_keeper_started(&mut self, tag: Tag) {
        if let Some(member) = self.member(tag) {
            let Origins {
                handover, table, ..
            } = &mut self.origins;
            handover.started(&member.host, table.keys());
        }
    }

    /// Chooses keepers among the routers that are registered and heard.
    fn update_keepers(&mut self, now: Instant) {
        let registered = Arc::clone(&self.inputs.members.borrow());
        let own = &self.inputs.own.host;
        let is_heard = |host: &host::Id| host == own || self.table.contains(host);
        let members = self.origins.silence.audible(&registered, is_heard, now);
        let Origins {
            handover, table, ..
        } = &mut self.origins;
        handover.set_members(members, table.keys());
    }

    /// Publishes which registered routers are lost.
    fn publish_lost_routers(&self, now: Instant) {
        let lost: Vec<host::Id> = self.origins.silence.lost(now).cloned().collect();
        let heard = self.origins.handover.members().iter();
        let hosts = heard.map(|member| member.host.clone());
        let members = if lost.is_empty() {
            Vec::new()
        } else {
            hosts.collect()
        };
        let backlog = lost_routers::Backlog { lost, members };
        self.outputs.lost_routers.send_if_modified(|known| {
            let is_changed = **known != backlog;
            if is_changed {
                *known = Arc::new(backlog);
            }
            is_changed
        });
    }

    /// Tells routers the records of which they have become keepers.
    async fn hand_origins_over(&mut self, now: Instant) {
        let own = self.inputs.own.host.clone();
        let mut records: BTreeMap<host::Id, (Member, Vec<Record>)> = BTreeMap::new();
        for (keeper, key) in self.origins.handover.next(&own, HANDOVER_BATCH) {
            if let Answer::Version(version) = self.origins.table.find(key, now) {
                let host = keeper.host.clone();
                let (_, records) = records.entry(host).or_insert((keeper, Vec::new()));
                records.push(Record { key, version });
            }
        }
        for (keeper, records) in records.into_values() {
            for batch in batches(records) {
                self.send_to(&Frame::Origins(batch), &keeper).await;
            }
        }
    }

    /// Sends the records that routers have not received because they did not know this process,
    /// or were no keepers then, and drops what is over.
    pub(super) async fn repeat_origins(&mut self) {
        let now = self.clock.now();
        self.origins.table.expire(now);
        self.origins.lookups.prune();
        self.update_keepers(now);
        self.publish_lost_routers(now);
        self.hand_origins_over(now).await;
        let renewed = self.origins.renewals.due(now);
        // A version that has joined makes streams of the one before need a record.
        if !renewed.is_empty() || self.inputs.history.has_changed().unwrap_or(false) {
            self.tell_journal().await;
        }
        for record in renewed {
            self.record_origin(record).await;
        }
        let members = Arc::clone(&self.inputs.members.borrow());
        for unsent in mem::take(&mut self.origins.unsent) {
            let mut members = members.iter();
            let Some(receiver) = members.find(|member| member.host == unsent.receiver) else {
                continue;
            };
            if self.is_introduced(receiver) {
                self.send_to(&unsent.frame, receiver).await;
            } else if now < unsent.expires_at {
                self.origins.unsent.push(unsent);
            }
        }
    }

    /// The first `count` keepers of a stream, without this router.
    fn other_keepers(&self, key: Key, count: usize) -> Vec<Member> {
        let members = self.origins.handover.members();
        let keepers = origins::keepers(members, key, count).into_iter();
        let own = &self.inputs.own.host;
        keepers
            .filter(|member| member.host != *own)
            .cloned()
            .collect()
    }
}

/// Splits records into parts that fit one datagram each.
fn batches(records: Vec<Record>) -> Vec<Vec<Record>> {
    let mut batches = Vec::new();
    let (mut batch, mut bytes) = (Vec::new(), 0);
    for record in records {
        let length = RECORD_OVERHEAD + record.version.as_str().len();
        if bytes + length > MAX_RECORDS_BYTES && !batch.is_empty() {
            batches.push(mem::take(&mut batch));
            bytes = 0;
        }
        bytes += length;
        batch.push(record);
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}

//! Names, addresses and last samples of the daemons that are known, this one included.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use kelpworks_coord::id::NodeId;
use kelpworks_wire::MemberContact;
use kelpworks_wire::MemberSample;

/// What is known of one daemon beside its health.
#[derive(Clone, Debug)]
pub(super) struct MemberRecord {
    /// Of its latest run.
    pub(super) contact: MemberContact,
    /// The one of the highest version seen; version 0 before any.
    pub(super) sample: MemberSample,
    /// Messages that the contact still goes with.
    contact_sends_left: u32,
    /// Messages that the sample still goes with.
    sample_sends_left: u32,
}

/// The daemons that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    records: BTreeMap<NodeId, MemberRecord>,
}

impl MemberTable {
    pub(super) fn get(&self, node: NodeId) -> Option<&MemberRecord> {
        self.records.get(&node)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &MemberRecord)> {
        self.records.iter().map(|(&node, record)| (node, record))
    }

    /// Takes a contact; true when it is of a run not known before.
    pub(super) fn merge_contact(&mut self, contact: &MemberContact) -> bool {
        let node = NodeId::of(&contact.name);
        let transmit_limit = self.transmit_limit();
        match self.records.get_mut(&node) {
            Some(record) if record.contact.started >= contact.started => false,
            Some(record) => {
                record.contact = contact.clone();
                record.contact_sends_left = transmit_limit;
                true
            }
            None => {
                self.records.insert(
                    node,
                    MemberRecord {
                        contact: contact.clone(),
                        sample: empty_sample(node),
                        contact_sends_left: transmit_limit,
                        sample_sends_left: 0,
                    },
                );
                true
            }
        }
    }

    /// Takes a sample of a known daemon when it is newer.
    pub(super) fn merge_sample(&mut self, sample: &MemberSample) {
        let transmit_limit = self.transmit_limit();
        if let Some(record) = self.records.get_mut(&NodeId(sample.node))
            && record.sample.version < sample.version
        {
            record.sample = sample.clone();
            record.sample_sends_left = transmit_limit;
        }
    }

    pub(super) fn retain_members(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.records.retain(|&node, _| keep(node));
    }

    /// Up to `max` contacts to go with the next message, newest news first.
    pub(super) fn next_contacts(&mut self, max: usize) -> Vec<MemberContact> {
        let mut due: Vec<&mut MemberRecord> = self
            .records
            .values_mut()
            .filter(|k| k.contact_sends_left > 0)
            .collect();
        due.sort_by_key(|k| Reverse(k.contact_sends_left));
        due.truncate(max);
        due.into_iter()
            .map(|k| {
                k.contact_sends_left -= 1;
                k.contact.clone()
            })
            .collect()
    }

    /// Up to `max` samples to go with the next message, newest news first.
    pub(super) fn next_samples(&mut self, max: usize) -> Vec<MemberSample> {
        let mut due: Vec<&mut MemberRecord> = self
            .records
            .values_mut()
            .filter(|k| k.sample_sends_left > 0)
            .collect();
        due.sort_by_key(|k| Reverse(k.sample_sends_left));
        due.truncate(max);
        due.into_iter()
            .map(|k| {
                k.sample_sends_left -= 1;
                k.sample.clone()
            })
            .collect()
    }

    /// Messages that a piece of news goes with, so that it reaches all but surely.
    fn transmit_limit(&self) -> u32 {
        3 * (self.records.len() as u32 + 2).ilog2()
    }
}

fn empty_sample(node: NodeId) -> MemberSample {
    MemberSample {
        node: node.0,
        version: 0,
        generation: 0,
        trial_demand: 0,
        leaving: false,
    }
}

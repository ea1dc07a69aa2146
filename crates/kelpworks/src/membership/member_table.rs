//! Names, addresses and latest samples of all known daemons, including this one.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use kelpworks_coord::id::NodeId;
use kelpworks_wire::MemberContact;
use kelpworks_wire::MemberSample;

/// Gossiped data on one daemon; its health is in the membership.
#[derive(Clone, Debug)]
pub(super) struct MemberRecord {
    /// Contact of its latest incarnation.
    pub(super) contact: MemberContact,
    /// Sample with the highest version received; version 0 before any.
    pub(super) sample: MemberSample,
    /// Number of further messages that carry the contact.
    contact_sends_left: u32,
    /// Number of further messages that carry the sample.
    sample_sends_left: u32,
}

/// All known daemons by identifier.
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

    /// Merges a contact; returns true when it is of a new incarnation.
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

    /// Replaces the sample of a known daemon by a newer one.
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

    /// Returns up to `max` contacts for the next message, those with the most sends left first.
    pub(super) fn next_contacts(&mut self, max: usize) -> Vec<MemberContact> {
        let mut due: Vec<&mut MemberRecord> = self
            .records
            .values_mut()
            .filter(|r| r.contact_sends_left > 0)
            .collect();
        due.sort_by_key(|r| Reverse(r.contact_sends_left));
        due.truncate(max);
        due.into_iter()
            .map(|r| {
                r.contact_sends_left -= 1;
                r.contact.clone()
            })
            .collect()
    }

    /// Returns up to `max` samples for the next message, those with the most sends left first.
    pub(super) fn next_samples(&mut self, max: usize) -> Vec<MemberSample> {
        let mut due: Vec<&mut MemberRecord> = self
            .records
            .values_mut()
            .filter(|r| r.sample_sends_left > 0)
            .collect();
        due.sort_by_key(|r| Reverse(r.sample_sends_left));
        due.truncate(max);
        due.into_iter()
            .map(|r| {
                r.sample_sends_left -= 1;
                r.sample.clone()
            })
            .collect()
    }

    /// Returns the number of messages that carry an update; it grows with the logarithm of the
    /// number of daemons, so that the update reaches all of them with high probability.
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

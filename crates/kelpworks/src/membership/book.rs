//! Names, addresses and last samples of the daemons that are known, this one included.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use kelpworks_coord::id::NodeId;
use kelpworks_wire::MemberContact;
use kelpworks_wire::MemberSample;

/// What is known of one daemon beside its health.
#[derive(Clone, Debug)]
pub(super) struct Known {
    /// Of its latest run.
    pub(super) contact: MemberContact,
    /// The one of the highest version seen; version 0 before any.
    pub(super) sample: MemberSample,
    /// Messages that the contact still goes with.
    contact_sends: u32,
    /// Messages that the sample still goes with.
    sample_sends: u32,
}

/// The daemons that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Book {
    known: BTreeMap<NodeId, Known>,
}

impl Book {
    pub(super) fn get(&self, node: NodeId) -> Option<&Known> {
        self.known.get(&node)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &Known)> {
        self.known.iter().map(|(&node, known)| (node, known))
    }

    /// Takes a contact; true when it is of a run not known before.
    pub(super) fn take_contact(&mut self, contact: &MemberContact) -> bool {
        let node = NodeId::of(&contact.name);
        let sends = self.sends();
        match self.known.get_mut(&node) {
            Some(known) if known.contact.started >= contact.started => false,
            Some(known) => {
                known.contact = contact.clone();
                known.contact_sends = sends;
                true
            }
            None => {
                self.known.insert(
                    node,
                    Known {
                        contact: contact.clone(),
                        sample: unknown(node),
                        contact_sends: sends,
                        sample_sends: 0,
                    },
                );
                true
            }
        }
    }

    /// Takes a sample of a known daemon when it is newer.
    pub(super) fn take_sample(&mut self, sample: &MemberSample) {
        let sends = self.sends();
        if let Some(known) = self.known.get_mut(&NodeId(sample.node))
            && known.sample.version < sample.version
        {
            known.sample = sample.clone();
            known.sample_sends = sends;
        }
    }

    pub(super) fn forget(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.known.retain(|&node, _| keep(node));
    }

    /// Up to `max` contacts to go with the next message, newest news first.
    pub(super) fn next_contacts(&mut self, max: usize) -> Vec<MemberContact> {
        let mut due: Vec<&mut Known> = self
            .known
            .values_mut()
            .filter(|k| k.contact_sends > 0)
            .collect();
        due.sort_by_key(|k| Reverse(k.contact_sends));
        due.truncate(max);
        due.into_iter()
            .map(|k| {
                k.contact_sends -= 1;
                k.contact.clone()
            })
            .collect()
    }

    /// Up to `max` samples to go with the next message, newest news first.
    pub(super) fn next_samples(&mut self, max: usize) -> Vec<MemberSample> {
        let mut due: Vec<&mut Known> = self
            .known
            .values_mut()
            .filter(|k| k.sample_sends > 0)
            .collect();
        due.sort_by_key(|k| Reverse(k.sample_sends));
        due.truncate(max);
        due.into_iter()
            .map(|k| {
                k.sample_sends -= 1;
                k.sample.clone()
            })
            .collect()
    }

    /// Messages that a piece of news goes with, so that it reaches all but surely.
    fn sends(&self) -> u32 {
        3 * (self.known.len() as u32 + 2).ilog2()
    }
}

fn unknown(node: NodeId) -> MemberSample {
    MemberSample {
        node: node.0,
        version: 0,
        generation: 0,
        trial_demand: 0,
        leaving: false,
    }
}

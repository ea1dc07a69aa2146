//! Conversions between wire types and those of the state machines.

use kelpworks_coord::facts::Fact;
use kelpworks_coord::facts::Key;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::facts::Stamp;
use kelpworks_coord::id::DomainId;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::membership::Health;
use kelpworks_coord::membership::Update;
use kelpworks_coord::time::Span;
use kelpworks_wire::MemberHealth;
use kelpworks_wire::MemberUpdate;
use kelpworks_wire::PeerFact;
use kelpworks_wire::PeerFactKind;

pub(super) fn update_to_wire(update: &Update) -> MemberUpdate {
    MemberUpdate {
        node: update.node.0,
        domain: update.domain.0,
        incarnation: update.incarnation.0,
        health: health_to_wire(update.health),
        by: update.by.0,
    }
}

pub(super) fn update_from_wire(update: &MemberUpdate) -> Update {
    Update {
        node: NodeId(update.node),
        domain: DomainId(update.domain),
        incarnation: Incarnation(update.incarnation),
        health: health_from_wire(update.health),
        by: NodeId(update.by),
    }
}

fn health_to_wire(health: Health) -> MemberHealth {
    match health {
        Health::Alive => MemberHealth::Alive,
        Health::Suspect => MemberHealth::Suspect,
        Health::Dead => MemberHealth::Dead,
        Health::Left => MemberHealth::Left,
    }
}

fn health_from_wire(health: MemberHealth) -> Health {
    match health {
        MemberHealth::Alive => Health::Alive,
        MemberHealth::Suspect => Health::Suspect,
        MemberHealth::Dead => Health::Dead,
        MemberHealth::Left => Health::Left,
    }
}

pub(super) fn fact_to_wire(fact: &Fact) -> PeerFact {
    PeerFact {
        author: fact.key.author.0,
        kind: kind_to_wire(fact.key.kind),
        subject: fact.key.subject,
        incarnation: fact.stamp.incarnation.0,
        sequence: fact.stamp.sequence,
        holds: fact.holds,
        detail: fact.detail,
        ttl_ms: fact.ttl.as_millis(),
    }
}

pub(super) fn fact_from_wire(fact: &PeerFact) -> Fact {
    Fact {
        key: Key {
            author: NodeId(fact.author),
            kind: kind_from_wire(fact.kind),
            subject: fact.subject,
        },
        stamp: Stamp {
            incarnation: Incarnation(fact.incarnation),
            sequence: fact.sequence,
        },
        holds: fact.holds,
        detail: fact.detail,
        ttl: Span::from_millis(fact.ttl_ms),
    }
}

fn kind_to_wire(kind: Kind) -> PeerFactKind {
    match kind {
        Kind::Leaving => PeerFactKind::Leaving,
        Kind::Down => PeerFactKind::Down,
        Kind::Quarantine => PeerFactKind::Quarantine,
        Kind::Suspect => PeerFactKind::Suspect,
        Kind::Poison => PeerFactKind::Poison,
    }
}

fn kind_from_wire(kind: PeerFactKind) -> Kind {
    match kind {
        PeerFactKind::Leaving => Kind::Leaving,
        PeerFactKind::Down => Kind::Down,
        PeerFactKind::Quarantine => Kind::Quarantine,
        PeerFactKind::Suspect => Kind::Suspect,
        PeerFactKind::Poison => Kind::Poison,
    }
}

//! Rulings of the claim ledger.

use amaranth_control::claim_ledger::{ClaimLedger, KeyStanding};
use amaranth_control::claim_record::{ClaimBatch, ClaimRecord, ClaimWish};
use amaranth_core::ids::{ClaimId, Incarnation, LogOffset, RequestId};
use amaranth_core::request::ServiceAnswer;
use bytes::Bytes;

fn claim(request: u128) -> ClaimRecord {
    ClaimRecord::Claim(ClaimWish {
        key: "k".parse().expect("a key"),
        body_digest: 1,
        request: RequestId(request),
        agent: "agent".parse().expect("a name"),
        agent_incarnation: Incarnation(1),
        endpoint: "desk".parse().expect("a name"),
    })
}

fn id(offset: u64, index: u16) -> ClaimId {
    ClaimId {
        offset: LogOffset(offset),
        index,
    }
}

fn released(claim: ClaimId) -> ClaimRecord {
    ClaimRecord::Released {
        key: "k".parse().expect("a key"),
        claim,
    }
}

fn done(claim: ClaimId) -> ClaimRecord {
    ClaimRecord::Done {
        key: "k".parse().expect("a key"),
        claim,
        answer: ServiceAnswer {
            status: 200,
            content_type: None,
            body: Bytes::from_static(b"kept"),
        },
    }
}

fn ledger_of(batches: Vec<Vec<ClaimRecord>>) -> ClaimLedger {
    let mut ledger = ClaimLedger::open();
    for (offset, records) in batches.into_iter().enumerate() {
        ledger.apply(LogOffset(offset as u64), ClaimBatch { records });
    }
    ledger
}

fn holder(ledger: &ClaimLedger) -> Option<ClaimId> {
    match ledger.standing(&"k".parse().expect("a key"))? {
        KeyStanding::Claimed { claim, .. } | KeyStanding::Done { claim, .. } => Some(*claim),
    }
}

#[test]
fn the_first_claim_holds_its_key() {
    let ledger = ledger_of(vec![vec![claim(1), claim(2)], vec![claim(3)]]);
    assert_eq!(holder(&ledger), Some(id(0, 0)));
}

#[test]
fn only_the_holder_is_released() {
    let ledger = ledger_of(vec![
        vec![claim(1)],
        vec![claim(2)],
        vec![released(id(1, 0))],
    ]);
    assert_eq!(holder(&ledger), Some(id(0, 0)));
    let ledger = ledger_of(vec![
        vec![claim(1)],
        vec![released(id(0, 0))],
        vec![claim(2)],
    ]);
    assert_eq!(holder(&ledger), Some(id(2, 0)));
}

#[test]
fn an_outcome_is_never_released() {
    let ledger = ledger_of(vec![
        vec![claim(1)],
        vec![done(id(0, 0))],
        vec![released(id(0, 0))],
    ]);
    assert_eq!(holder(&ledger), Some(id(0, 0)));
}

#[test]
fn keys_are_forgotten_with_the_records_of_their_claims() {
    let mut ledger = ledger_of(vec![vec![claim(1)], vec![done(id(0, 0))]]);
    ledger.forget_before(LogOffset(1));
    assert_eq!(holder(&ledger), None);
    assert!(ledger.is_empty());
}

#[test]
fn a_batch_counts_once() {
    let mut ledger = ledger_of(vec![vec![claim(1)], vec![released(id(0, 0))]]);
    let batch = ClaimBatch {
        records: vec![claim(1)],
    };
    assert!(ledger.apply(LogOffset(0), batch).is_empty());
    assert_eq!(holder(&ledger), None);
}

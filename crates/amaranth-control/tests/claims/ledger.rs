//! Status of keys in the claim ledger.

use amaranth_control::claim_ledger::{ClaimLedger, KeyStatus};
use amaranth_control::claim_record::{ClaimBatch, ClaimProposal, ClaimRecord};
use amaranth_core::ids::{ClaimId, Incarnation, LogOffset, RequestId};
use amaranth_core::request::ServiceAnswer;
use bytes::Bytes;

fn claim(request: u128) -> ClaimRecord {
    ClaimRecord::Claim(ClaimProposal {
        key: "k".parse().expect("the key is well formed"),
        body_digest: 1,
        request: RequestId(request),
        agent: "agent".parse().expect("the name is well formed"),
        agent_incarnation: Incarnation(1),
        endpoint: "endpoint".parse().expect("the name is well formed"),
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
        key: "k".parse().expect("the key is well formed"),
        claim,
    }
}

fn done(claim: ClaimId) -> ClaimRecord {
    ClaimRecord::Done {
        key: "k".parse().expect("the key is well formed"),
        claim,
        answer: ServiceAnswer {
            status: 200,
            content_type: None,
            body: Bytes::from_static(b"kept"),
        },
    }
}

fn ledger_of(batches: Vec<Vec<ClaimRecord>>) -> ClaimLedger {
    let mut ledger = ClaimLedger::new();
    for (offset, records) in batches.into_iter().enumerate() {
        ledger.apply(LogOffset(offset as u64), ClaimBatch { records });
    }
    ledger
}

fn holder(ledger: &ClaimLedger) -> Option<ClaimId> {
    match ledger.status(&"k".parse().expect("the key is well formed"))? {
        KeyStatus::Claimed { claim, .. } | KeyStatus::Done { claim, .. } => Some(*claim),
    }
}

#[test]
fn the_first_claim_wins_its_key() {
    let ledger = ledger_of(vec![vec![claim(1), claim(2)], vec![claim(3)]]);
    assert_eq!(holder(&ledger), Some(id(0, 0)));
}

#[test]
fn only_the_claim_that_holds_a_key_is_released() {
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
fn a_key_with_a_recorded_outcome_is_never_released() {
    let ledger = ledger_of(vec![
        vec![claim(1)],
        vec![done(id(0, 0))],
        vec![released(id(0, 0))],
    ]);
    assert_eq!(holder(&ledger), Some(id(0, 0)));
}

#[test]
fn keys_are_removed_with_the_records_of_their_claims() {
    let mut ledger = ledger_of(vec![vec![claim(1)], vec![done(id(0, 0))]]);
    ledger.remove_before(LogOffset(1));
    assert_eq!(holder(&ledger), None);
    assert!(ledger.is_empty());
}

#[test]
fn a_batch_is_applied_only_once() {
    let mut ledger = ledger_of(vec![vec![claim(1)], vec![released(id(0, 0))]]);
    let batch = ClaimBatch {
        records: vec![claim(1)],
    };
    assert!(ledger.apply(LogOffset(0), batch).is_empty());
    assert_eq!(holder(&ledger), None);
}

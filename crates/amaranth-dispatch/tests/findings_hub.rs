//! Tests of the findings that an agent holds for entries.

use amaranth_dispatch::findings_hub::{FindingsCursor, FindingsHub, HubFindings};
use bytes::Bytes;

fn findings(entry: &str, text: &'static str) -> HubFindings {
    HubFindings {
        entry: entry.to_owned(),
        encoded: Bytes::from_static(text.as_bytes()),
    }
}

#[test]
fn an_entry_receives_the_newest_findings_of_each_entry_once() {
    let mut hub = FindingsHub::new(7);
    assert!(hub.record(findings("a", "1")));
    assert!(hub.record(findings("b", "2")));
    assert!(hub.record(findings("a", "3")));
    assert!(!hub.record(findings("a", "3")), "nothing new");
    let update = hub.update_for(FindingsCursor::default());
    assert_eq!(update.findings, [findings("a", "3"), findings("b", "2")]);
    assert!(!hub.has_news(update.cursor));
    hub.record(findings("b", "4"));
    assert!(hub.has_news(update.cursor));
    let news = hub.update_for(update.cursor);
    assert_eq!(news.findings, [findings("b", "4")]);
}

#[test]
fn an_entry_of_an_earlier_incarnation_receives_everything() {
    let mut before = FindingsHub::new(7);
    for text in ["1", "2", "3"] {
        before.record(findings("a", text));
    }
    let cursor = before.update_for(FindingsCursor::default()).cursor;
    let mut hub = FindingsHub::new(8);
    assert!(hub.has_news(cursor), "the entry sends its findings again");
    hub.record(findings("b", "4"));
    assert_eq!(hub.update_for(cursor).findings, [findings("b", "4")]);
}

#[test]
fn a_hub_stays_small() {
    let mut hub = FindingsHub::new(7);
    for number in 0..3_000 {
        hub.record(findings(&format!("entry-{number}"), "1"));
    }
    let huge = HubFindings {
        entry: "huge".to_owned(),
        encoded: Bytes::from(vec![0; 1 << 20]),
    };
    assert!(!hub.record(huge));
    let update = hub.update_for(FindingsCursor::default());
    assert_eq!(update.findings.len(), 1_024);
    assert!(
        update
            .findings
            .iter()
            .any(|known| known.entry == "entry-2999")
    );
}

//! The log: offsets, long polls, rate limit, retention and faults.

use std::time::Duration;

use amaranth_core::ids::LogOffset;
use amaranth_core::units::EventRate;
use amaranth_ports::PortError;
use amaranth_ports::http_log::HttpLog;
use amaranth_ports::log::{LogPort, LogStream};
use amaranth_standin::{CommonFaults, LogFaults, LogOptions, LogStandin, OutageKind};
use bytes::Bytes;

async fn spawn_log(options: LogOptions) -> (LogStandin, HttpLog) {
    let log = LogStandin::spawn(options).await.expect("the log binds");
    let client = HttpLog::new(log.address());
    (log, client)
}

async fn append(client: &HttpLog, text: &'static str) -> Result<LogOffset, PortError> {
    let record = Bytes::from_static(text.as_bytes());
    client.append(LogStream::Claims, record).await
}

async fn read_texts(client: &HttpLog, from: u64) -> Vec<String> {
    let read = client.read(LogStream::Claims, LogOffset(from), 100, Duration::ZERO);
    let page = read.await.expect("the log answers the read");
    let text = |data: &Bytes| String::from_utf8_lossy(data).into_owned();
    page.records
        .iter()
        .map(|record| text(&record.data))
        .collect()
}

#[tokio::test]
async fn offsets_are_counted_separately_for_each_stream() {
    let (_log, client) = spawn_log(LogOptions::default()).await;
    assert_eq!(append(&client, "a").await, Ok(LogOffset(0)));
    assert_eq!(append(&client, "b").await, Ok(LogOffset(1)));
    let other = client.append(LogStream::Leases, Bytes::from_static(b"c"));
    assert_eq!(other.await, Ok(LogOffset(0)));
    assert_eq!(read_texts(&client, 1).await, ["b"]);
}

#[tokio::test]
async fn long_poll_returns_when_a_record_arrives() {
    let (_log, client) = spawn_log(LogOptions::default()).await;
    let reader = client.clone();
    let wait = Duration::from_secs(30);
    let poll =
        tokio::spawn(async move { reader.read(LogStream::Claims, LogOffset(0), 10, wait).await });
    append(&client, "late")
        .await
        .expect("the log accepts the append");
    let page = poll
        .await
        .expect("the read task does not panic")
        .expect("the log answers the read");
    assert_eq!(page.records.len(), 1);
}

#[tokio::test]
async fn append_with_a_lost_answer_takes_effect_and_a_dropped_append_does_not() {
    let (log, client) = spawn_log(LogOptions::default()).await;
    log.set_faults(LogFaults {
        lost_appends: 1,
        ..LogFaults::default()
    });
    let lost = append(&client, "lost")
        .await
        .expect_err("the answer is lost");
    assert!(lost.may_have_run());
    log.set_faults(LogFaults {
        dropped_appends: 1,
        ..LogFaults::default()
    });
    let dropped = append(&client, "dropped")
        .await
        .expect_err("the answer is lost");
    assert!(dropped.may_have_run());
    assert_eq!(read_texts(&client, 0).await, ["lost"]);
}

#[tokio::test]
async fn refusing_outage_is_distinguished_from_a_lost_answer() {
    let (log, client) = spawn_log(LogOptions::default()).await;
    log.set_faults(LogFaults {
        common: CommonFaults {
            outage: OutageKind::Refusing,
            ..CommonFaults::default()
        },
        ..LogFaults::default()
    });
    let refused = append(&client, "a")
        .await
        .expect_err("the log refuses calls");
    assert!(matches!(refused, PortError::Unreachable(_)), "{refused}");
    log.set_faults(LogFaults::default());
    assert_eq!(append(&client, "b").await, Ok(LogOffset(0)));
}

#[tokio::test]
async fn killed_log_is_unreachable() {
    let (log, client) = spawn_log(LogOptions::default()).await;
    log.kill();
    let mut refused = append(&client, "a").await;
    // The listener closes when its task ends, which may be after the first attempt.
    for _ in 0..100 {
        if matches!(refused, Err(PortError::Unreachable(_))) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        refused = append(&client, "a").await;
    }
    panic!("the killed log is still reachable: {refused:?}");
}

#[tokio::test]
async fn rate_limit_of_appends_returns_the_delay_before_a_retry() {
    let (log, client) = spawn_log(LogOptions {
        append_rate: EventRate(0.001),
        append_burst: 2,
        ..LogOptions::default()
    })
    .await;
    append(&client, "a")
        .await
        .expect("the append is within the burst");
    append(&client, "b")
        .await
        .expect("the append is within the burst");
    let limited = append(&client, "c")
        .await
        .expect_err("the append exceeds the burst");
    assert!(matches!(limited, PortError::Limited(delay) if delay > Duration::from_secs(60)));
    assert_eq!(log.counters().limited, 1);
}

#[tokio::test]
async fn expired_records_are_removed_and_the_page_reports_the_first_kept_offset() {
    let (_log, client) = spawn_log(LogOptions {
        retention: Duration::ZERO,
        ..LogOptions::default()
    })
    .await;
    append(&client, "a")
        .await
        .expect("the log accepts the append");
    tokio::time::sleep(Duration::from_millis(2)).await;
    let read = client.read(LogStream::Claims, LogOffset(0), 10, Duration::ZERO);
    let page = read.await.expect("the log answers the read");
    assert!(page.records.is_empty());
    assert_eq!((page.first_kept, page.end), (LogOffset(1), LogOffset(1)));
}

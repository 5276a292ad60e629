//! Spans are exported to a collector with the trace and span ids that were sent to the next hop.

use std::time::Duration;

use amaranth_core::trace::TraceContext;
use amaranth_telemetry::spans::{self, HopSpan};
use axum::Router;
use axum::body::Bytes;
use axum::routing::post;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Timeout of the arrival of the spans at the collector.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn spans_reach_the_collector() {
    let (sender, mut received) = mpsc::unbounded_channel::<Bytes>();
    let receive = move |body: Bytes| async move {
        sender.send(body).unwrap();
    };
    let collector = Router::new().route("/v1/traces", post(receive));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = format!("http://{}/v1/traces", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, collector).await });

    let export = spans::install("amaranth-sample", Some(&endpoint)).unwrap();
    let caller = TraceContext {
        trace_id: 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c,
        span_id: 0xb7ad_6b71_6920_3331,
        sampled: true,
    };
    let hop = HopSpan::start("sample.hop", caller);
    let propagated = hop.context();
    drop(hop);
    tokio::task::spawn_blocking(move || export.close())
        .await
        .unwrap();

    let arrival = tokio::time::timeout(ARRIVAL_TIMEOUT, received.recv()).await;
    let body = arrival.expect("the spans arrive in time").unwrap();
    let contains = |expected: &[u8]| {
        body.windows(expected.len())
            .any(|window| window == expected)
    };
    assert!(contains(b"sample.hop"));
    assert!(contains(&caller.trace_id.to_be_bytes()));
    assert!(contains(&caller.span_id.to_be_bytes()));
    assert!(contains(&propagated.span_id.to_be_bytes()));
}

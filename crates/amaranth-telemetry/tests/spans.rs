//! Spans reach a collector, with the trace and the span that the next hop was told.

use std::time::Duration;

use amaranth_core::trace::TraceContext;
use amaranth_telemetry::spans::{self, HopSpan};
use axum::Router;
use axum::body::Bytes;
use axum::routing::post;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Time within which the collector must have the spans.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn spans_reach_the_collector() {
    let (sender, mut received) = mpsc::unbounded_channel::<Bytes>();
    let take = move |body: Bytes| async move {
        sender.send(body).unwrap();
    };
    let collector = Router::new().route("/v1/traces", post(take));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = format!("http://{}/v1/traces", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, collector).await });

    let export = spans::open("amaranth-sample", Some(&endpoint)).unwrap();
    let caller = TraceContext {
        trace_id: 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c,
        span_id: 0xb7ad_6b71_6920_3331,
        sampled: true,
    };
    let hop = HopSpan::start("sample.hop", caller);
    let told = hop.context();
    drop(hop);
    tokio::task::spawn_blocking(move || export.close())
        .await
        .unwrap();

    let arrival = tokio::time::timeout(ARRIVAL_LIMIT, received.recv()).await;
    let body = arrival.expect("the spans arrive").unwrap();
    let holds = |wanted: &[u8]| body.windows(wanted.len()).any(|window| window == wanted);
    assert!(holds(b"sample.hop"));
    assert!(holds(&caller.trace_id.to_be_bytes()));
    assert!(holds(&caller.span_id.to_be_bytes()));
    assert!(holds(&told.span_id.to_be_bytes()));
}

//! The plain service and the VM list, with their faults.

use std::time::Duration;

use amaranth_core::ids::{ClaimId, Incarnation, LogOffset, RequestId};
use amaranth_core::request::{ServiceClaim, ServiceRequest};
use amaranth_core::trace::TraceContext;
use amaranth_ports::http_service::HttpService;
use amaranth_ports::http_vm_list::HttpVmList;
use amaranth_ports::service::ServicePort;
use amaranth_ports::vm_list::{VmListPort, VmRecord, VmRole, VmState};
use amaranth_standin::{
    CommonFaults, OutageKind, ServiceFaults, ServiceOptions, ServiceStandin, VmListFaults,
    VmListOptions, VmListStandin,
};
use bytes::Bytes;

const TIMEOUT: Duration = Duration::from_secs(30);

fn booking() -> ServiceRequest {
    ServiceRequest {
        id: RequestId(1),
        service: "member-desk".parse().expect("the service name is valid"),
        endpoint: "desk-1".parse().expect("the endpoint name is valid"),
        method: "POST".to_owned(),
        path: "/bookings?depot=obihiro".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::from_static(b"{\"tins\":4}"),
        claim: None,
        time_left: TIMEOUT,
        trace: TraceContext {
            trace_id: 1,
            span_id: 1,
            sampled: false,
        },
    }
}

async fn spawn_service() -> (ServiceStandin, HttpService) {
    let service = ServiceStandin::spawn(ServiceOptions {
        work_time: Duration::from_millis(1),
        ..ServiceOptions::default()
    })
    .await
    .expect("the service binds");
    let client = HttpService::new(service.address());
    (service, client)
}

fn claimed_booking(key: &str) -> ServiceRequest {
    let id = ClaimId {
        offset: LogOffset(1),
        index: 0,
    };
    ServiceRequest {
        claim: Some(ServiceClaim {
            key: key.parse().expect("the idempotency key is valid"),
            id,
            agent_incarnation: Incarnation(1),
        }),
        ..booking()
    }
}

#[tokio::test]
async fn answer_is_a_receipt_and_executions_are_counted_by_key() {
    let (service, client) = spawn_service().await;
    let answer = client.call(&claimed_booking("pickup-9"), TIMEOUT).await;
    let answer = answer.expect("the service answers");
    assert_eq!(answer.status, 200);
    insta::assert_snapshot!(
        String::from_utf8_lossy(&answer.body),
        @r#"{"call":"POST /bookings?depot=obihiro","key":"pickup-9","execution":1,"digest":"a38235170b10095cd6b00a58fa499d65"}"#
    );
    for request in [claimed_booking("pickup-9"), booking()] {
        client
            .call(&request, TIMEOUT)
            .await
            .expect("the service answers");
    }
    let counters = service.counters();
    assert_eq!(counters.executions, 3);
    assert_eq!(counters.by_key["pickup-9"], 2);
}

#[tokio::test]
async fn call_with_a_lost_answer_is_executed_and_a_dropped_call_is_not() {
    let (service, client) = spawn_service().await;
    service.set_faults(ServiceFaults {
        lost_answers: 1,
        dropped_calls: 0,
        ..ServiceFaults::default()
    });
    let lost = client.call(&claimed_booking("lost"), TIMEOUT).await;
    assert!(lost.expect_err("the answer is lost").may_have_run());
    service.set_faults(ServiceFaults {
        dropped_calls: 1,
        ..ServiceFaults::default()
    });
    let dropped = client.call(&claimed_booking("dropped"), TIMEOUT).await;
    assert!(dropped.expect_err("the answer is lost").may_have_run());
    let counters = service.counters();
    assert_eq!(counters.by_key.get("lost"), Some(&1));
    assert_eq!(counters.by_key.get("dropped"), None);
}

#[tokio::test]
async fn probe_fails_during_an_outage_and_after_a_drain() {
    let (service, client) = spawn_service().await;
    assert!(client.probe().await);
    service.set_faults(ServiceFaults {
        common: CommonFaults {
            outage: OutageKind::Refusing,
            ..CommonFaults::default()
        },
        ..ServiceFaults::default()
    });
    assert!(!client.probe().await);
    service.set_faults(ServiceFaults::default());
    assert!(client.probe().await);
    service.drain().await;
    assert!(!client.probe().await);
}

fn vm(name: &str, state: VmState) -> VmRecord {
    VmRecord {
        vm: name.parse().expect("the VM name is valid"),
        role: VmRole::Endpoint,
        state,
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        data_centre: "obihiro-a".parse().expect("the data centre name is valid"),
        region: "doto".parse().expect("the region name is valid"),
    }
}

#[tokio::test(start_paused = true)]
async fn vm_list_lags() {
    let list = VmListStandin::spawn(VmListOptions {
        vms: vec![vm("vm-1", VmState::Live)],
        faults: VmListFaults {
            lag: Duration::from_secs(20),
            ..VmListFaults::default()
        },
        ..VmListOptions::default()
    })
    .await
    .expect("the VM list binds");
    let client = HttpVmList::new(list.address());
    let after = vec![vm("vm-1", VmState::Draining), vm("vm-2", VmState::Live)];
    list.set_vms(after.clone());
    let listed = client.list().await.expect("the VM list answers");
    assert_eq!(listed, [vm("vm-1", VmState::Live)]);
    tokio::time::sleep(Duration::from_secs(21)).await;
    assert_eq!(client.list().await.expect("the VM list answers"), after);
}

//! Snapshots of the text forms that dispatch enums have in logs and metrics.

mod support;

use amaranth_dispatch::adapter_manager::OrderAnswer;
use amaranth_dispatch::attempts::SendFailure;
use amaranth_dispatch::endpoint_table::{AgentFailure, EndpointChange};
use amaranth_dispatch::engine_selector::SelectionReason;
use amaranth_dispatch::engine_view::LoadOutcome;
use amaranth_dispatch::exchange_policy::ExchangePace;
use amaranth_dispatch::refusal::RefusalCause;
use amaranth_dispatch::routes::{ConfigOutcome, RouteKind};

use support::{not_sent, refused};

fn texts<Value: ToString>(values: &[Value]) -> String {
    let texts: Vec<String> = values.iter().map(ToString::to_string).collect();
    texts.join(" ")
}

#[test]
fn enums_have_stable_text_forms() {
    let changes = [
        EndpointChange::Joined,
        EndpointChange::Restarted,
        EndpointChange::Draining,
        EndpointChange::Removed,
        EndpointChange::RemovalDelayed,
        EndpointChange::Unchanged,
    ];
    let failures = [
        not_sent(),
        refused(503),
        refused(421),
        SendFailure::Failed,
        SendFailure::Ambiguous,
        SendFailure::Abandoned,
    ];
    let causes = [
        RefusalCause::BadRequest,
        RefusalCause::BodyTimeout,
        RefusalCause::BodyTooLarge,
        RefusalCause::MemorySpent,
        RefusalCause::NoRoute,
        RefusalCause::NoConfig,
        RefusalCause::StaleConfig,
        RefusalCause::UnknownKey,
        RefusalCause::Stopping,
        RefusalCause::NoEndpoint,
        RefusalCause::AdapterWait,
        RefusalCause::EndpointsPaused,
        RefusalCause::Quarantined,
        RefusalCause::Overloaded,
        RefusalCause::EndpointsRefused,
        RefusalCause::OutcomeUnknown,
        RefusalCause::TimedOut,
    ];
    let reasons = [
        SelectionReason::Held,
        SelectionReason::Loading,
        SelectionReason::Cached,
        SelectionReason::FreeSlot,
    ];
    let answers = [
        OrderAnswer::Accepted,
        OrderAnswer::HeldAlready,
        OrderAnswer::Conflict,
        OrderAnswer::Refused,
        OrderAnswer::Unanswered,
    ];
    let outcomes = [
        LoadOutcome::Held,
        LoadOutcome::TimedOut,
        LoadOutcome::NoSlot,
        LoadOutcome::Unavailable,
    ];
    let paces = [
        ExchangePace::Queued,
        ExchangePace::Used,
        ExchangePace::Nearby,
        ExchangePace::Remote,
        ExchangePace::Distant,
    ];
    let kinds = [
        RouteKind::Idempotent,
        RouteKind::NonIdempotent,
        RouteKind::Stream,
    ];
    let lines = [
        (
            "agent",
            texts(&[AgentFailure::ProcessEnded, AgentFailure::VmSilent]),
        ),
        ("change", texts(&changes)),
        (
            "config",
            texts(&[
                ConfigOutcome::Adopted,
                ConfigOutcome::Known,
                ConfigOutcome::Outdated,
            ]),
        ),
        ("failure", texts(&failures)),
        ("load", texts(&outcomes)),
        ("order", texts(&answers)),
        ("pace", texts(&paces)),
        ("reason", texts(&reasons)),
        ("refusal", texts(&causes)),
        ("route", texts(&kinds)),
    ];
    let text: Vec<String> = lines
        .iter()
        .map(|(name, values)| format!("{name}: {values}"))
        .collect();
    insta::assert_snapshot!(text.join("\n"));
}

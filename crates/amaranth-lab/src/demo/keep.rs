//! `demo --keep`: a fleet that stays up, with lines to paste.

use amaranth_core::errors::{Result, internal};
use amaranth_telemetry::shutdown::ShutdownSignal;

use crate::demo::arguments::DemoArguments;
use crate::fleet::configuration::FIRST_VERSION;
use crate::fleet::demo_fleet::DemoFleet;
use crate::fleet::shape::{Deployment, DeploymentShape};

/// Runs one fleet until a signal comes, then stops it in order.
///
/// # Errors
///
/// Returns an error when the fleet can't be started.
pub async fn run(arguments: &DemoArguments) -> Result<bool> {
    let deployment = arguments
        .deployments
        .first()
        .copied()
        .unwrap_or(Deployment::Tokachi);
    let mut signal = ShutdownSignal::listen().map_err(|error| internal(error.to_string()))?;
    let fleet = DemoFleet::spawn(DeploymentShape::of(deployment)).await?;
    print_lines(&fleet);
    let name = signal.wait().await;
    println!("{name}: stopping the fleet in order");
    fleet.stop().await;
    println!("stopped");
    Ok(true)
}

fn print_lines(fleet: &DemoFleet) {
    let Some(entry) = fleet.entry_addresses().first().copied() else {
        return;
    };
    let adapter = fleet.shape.adapter_name(0);
    let service = &fleet.shape.service;
    println!(
        "The fleet of {} is up. The entry: http://{entry}",
        fleet.shape.deployment
    );
    println!("\nA whole completion:");
    println!(
        "curl -s http://{entry}/v1/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"{adapter}@{FIRST_VERSION}\",\"prompt\":\"hello\",\"max_tokens\":8}}'"
    );
    println!("\nA streamed chat completion:");
    println!(
        "curl -sN http://{entry}/v1/chat/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"{adapter}\",\"stream\":true,\"max_tokens\":8,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!("\nA booking, which runs once however often you paste it:");
    println!(
        "curl -si http://{entry}/services/{service}/bookings -H 'idempotency-key: pickup-1' \
         -d '{{\"tins\":4}}'"
    );
    println!("\nModels: curl -s http://{entry}/v1/models");
    println!("Ctrl-C stops the fleet in order.");
}

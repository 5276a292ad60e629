//! Interactive mode of the demo (`--keep`): a fleet that runs until a shutdown signal.

use amaranth_core::errors::{Result, internal};
use amaranth_telemetry::shutdown::ShutdownSignal;

use crate::demo::arguments::DemoArguments;
use crate::fleet::configuration::FIRST_VERSION;
use crate::fleet::demo_fleet::DemoFleet;
use crate::fleet::shape::{Deployment, DeploymentShape};

/// Runs one fleet until a shutdown signal arrives, then stops it gracefully.
///
/// # Errors
///
/// Returns an error if the signal handlers can't be installed or the fleet can't be started.
pub async fn run_until_shutdown(arguments: &DemoArguments) -> Result<bool> {
    let deployment = arguments
        .deployments
        .first()
        .copied()
        .unwrap_or(Deployment::Tokachi);
    let mut signal = ShutdownSignal::listen().map_err(|error| internal(error.to_string()))?;
    let fleet = DemoFleet::spawn(DeploymentShape::of(deployment)).await?;
    print_commands(&fleet);
    let signal_name = signal.wait().await;
    println!("{signal_name}: stopping the fleet gracefully");
    fleet.stop().await;
    println!("stopped");
    Ok(true)
}

/// Prints commands that call the first entry of the fleet.
fn print_commands(fleet: &DemoFleet) {
    let Some(entry) = fleet.entry_addresses().first().copied() else {
        return;
    };
    let adapter = fleet.shape.adapter_name(0);
    let service = &fleet.shape.service;
    println!(
        "The fleet of {} is running. Its entry: http://{entry}",
        fleet.shape.deployment
    );
    println!("\nA completion without streaming:");
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
    println!("Ctrl-C stops the fleet gracefully.");
}

//! The estimate of the wait at one engine, for early refusals with an honest time to come back.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// Weight of one new sample.
const SAMPLE_WEIGHT: f64 = 0.125;

/// Samples before an estimate counts.
const MIN_SAMPLES: u32 = 8;

/// Time in which an estimate that gets no new sample halves.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// A smoothed duration that fades while no sample comes.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitEstimate {
    seconds: f64,
    samples: u32,
    updated: Timestamp,
}

impl WaitEstimate {
    /// Takes a sample.
    pub fn record(&mut self, now: Timestamp, wait: Duration) {
        let sample = wait.as_secs_f64();
        let known = self.faded(now);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.seconds = known + (sample - known) * weight;
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
    }

    /// Returns the estimate, or nothing while there are too few samples.
    pub fn get(&self, now: Timestamp) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.faded(now)))
    }

    fn faded(&self, now: Timestamp) -> f64 {
        let idle = now.since(self.updated).as_secs_f64();
        self.seconds * 0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }
}

/// What an engine's waits were lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdmissionControl {
    load_wait: WaitEstimate,
    service_time: WaitEstimate,
}

impl AdmissionControl {
    /// Takes the time from wanting an adapter to holding it.
    pub fn record_load(&mut self, now: Timestamp, wait: Duration) {
        self.load_wait.record(now, wait);
    }

    /// Takes the time that a request spent in the batch.
    pub fn record_service(&mut self, now: Timestamp, time: Duration) {
        self.service_time.record(now, time);
    }

    /// Returns the expected wait for an adapter that is not resident.
    pub fn load_wait(&self, now: Timestamp) -> Duration {
        self.load_wait.get(now).unwrap_or_default()
    }

    /// Returns the expected time that a request spends in the batch.
    pub fn service_time(&self, now: Timestamp) -> Duration {
        self.service_time.get(now).unwrap_or_default()
    }

    /// Returns the expected wait for a place in the batch behind `ahead` waiting requests.
    pub fn batch_wait(&self, now: Timestamp, ahead: usize, batch_slots: usize) -> Duration {
        let service = self.service_time(now);
        let rounds = ahead as f64 / batch_slots.max(1) as f64;
        service.mul_f64(rounds)
    }
}

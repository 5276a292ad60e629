//! Estimates of the waits at one engine, for early refusals with a realistic retry delay.

use std::time::Duration;

use amaranth_core::time::Timestamp;

/// The smallest weight of a new sample.
const MIN_SAMPLE_WEIGHT: f64 = 0.125;

/// The number of samples that an estimate needs before it is used.
const MIN_SAMPLES: u32 = 8;

/// The time in which an estimate without new samples decays by half.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// An exponential moving average of durations, which decays while there are no new samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitEstimate {
    seconds: f64,
    samples: u32,
    updated: Timestamp,
}

impl WaitEstimate {
    /// Records a sample.
    pub fn record(&mut self, now: Timestamp, wait: Duration) {
        let sample = wait.as_secs_f64();
        let decayed = self.decayed(now);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.seconds = decayed + (sample - decayed) * weight;
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
    }

    /// Returns the estimate, or `None` while there are too few samples.
    pub fn get(&self, now: Timestamp) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.decayed(now)))
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let idle = now.since(self.updated).as_secs_f64();
        self.seconds * 0.5_f64.powf(idle / HALF_LIFE.as_secs_f64())
    }
}

/// Estimates of the load wait and the service time of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdmissionEstimates {
    load_wait: WaitEstimate,
    service_time: WaitEstimate,
}

impl AdmissionEstimates {
    /// Records the time for which a load was pending.
    pub fn record_load(&mut self, now: Timestamp, wait: Duration) {
        self.load_wait.record(now, wait);
    }

    /// Records the time that a request spent in the batch.
    pub fn record_service(&mut self, now: Timestamp, time: Duration) {
        self.service_time.record(now, time);
    }

    /// Returns the expected wait for an adapter that is not resident, or zero if it is unknown.
    pub fn load_wait(&self, now: Timestamp) -> Duration {
        self.load_wait.get(now).unwrap_or_default()
    }

    /// Returns the expected time that a request spends in the batch, or zero if it is unknown.
    pub fn service_time(&self, now: Timestamp) -> Duration {
        self.service_time.get(now).unwrap_or_default()
    }

    /// Returns the expected wait for a batch slot behind `ahead` waiting requests.
    pub fn batch_wait(&self, now: Timestamp, ahead: usize, batch_slots: usize) -> Duration {
        let service = self.service_time(now);
        let rounds = ahead as f64 / batch_slots.max(1) as f64;
        service.mul_f64(rounds)
    }
}

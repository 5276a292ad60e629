//! The popularity of adapters and the arrival times of calls.

use rand::{Rng, RngExt};
use rand_distr::{Distribution, Zipf};

/// Draws adapters whose popularity follows a Zipf distribution.
#[derive(Debug, Clone)]
pub struct AdapterPopularity {
    distribution: Zipf<f64>,
    adapters: u32,
    shift: u32,
}

impl AdapterPopularity {
    /// Creates a distribution over `adapters` adapters with this Zipf exponent.
    ///
    /// # Panics
    ///
    /// Panics if `adapters` is 0 or the exponent is negative.
    pub fn new(adapters: u32, exponent: f64) -> Self {
        Self {
            distribution: Zipf::new(f64::from(adapters), exponent)
                .expect("there are adapters and the exponent is not negative"),
            adapters,
            shift: 0,
        }
    }

    /// Moves every popularity rank to the adapter whose index is larger by `shift`, modulo the
    /// number of adapters, so that other adapters become popular at once.
    pub fn shift_by(&mut self, shift: u32) {
        self.shift = (self.shift + shift) % self.adapters;
    }

    /// Draws the index of an adapter, counted from 0.
    pub fn draw(&self, random: &mut impl Rng) -> u32 {
        let rank = self.distribution.sample(random) as u32 - 1;
        (rank + self.shift) % self.adapters
    }
}

/// Draws the time between two arrivals of a Poisson process, in seconds.
///
/// `rate` is the mean number of arrivals per second.
pub fn interarrival_seconds(random: &mut impl Rng, rate: f64) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() / rate
}

//! How popular each adapter is.

use rand::{Rng, RngExt};
use rand_distr::{Distribution, Zipf};

/// Draws adapters by a Zipf law.
#[derive(Debug, Clone)]
pub struct AdapterPopularity {
    law: Zipf<f64>,
    adapters: u32,
    shift: u32,
}

impl AdapterPopularity {
    /// Opens a law over `adapters` adapters with `exponent`.
    ///
    /// # Panics
    ///
    /// Panics if there are no adapters or the exponent is negative.
    pub fn open(adapters: u32, exponent: f64) -> Self {
        Self {
            law: Zipf::new(f64::from(adapters), exponent).expect("the law's parameters are valid"),
            adapters,
            shift: 0,
        }
    }

    /// Replaces the popular adapters by others at once.
    pub fn shift_by(&mut self, shift: u32) {
        self.shift = (self.shift + shift) % self.adapters;
    }

    /// Draws the index of an adapter.
    pub fn draw(&self, random: &mut impl Rng) -> u32 {
        let rank = self.law.sample(random) as u32 - 1;
        (rank + self.shift) % self.adapters
    }
}

/// Draws the time to the next arrival of a Poisson process with `rate` per second, in seconds.
pub fn next_arrival(random: &mut impl Rng, rate: f64) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() / rate
}

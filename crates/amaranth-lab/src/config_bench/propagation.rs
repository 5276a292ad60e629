//! Measures the time from the append of a change until it is in force at every reader.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_config::history::ConfigHistory;
use amaranth_core::ids::ConfigRevision;
use amaranth_follow::{ConfigFollower, ConfigView, FollowerOptions};
use amaranth_ports::http_log::HttpLog;
use amaranth_ports::log::{LogPort, LogStream};
use amaranth_standin::log_standin::{LogOptions, LogStandin};
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use super::arguments::BenchOptions;
use super::change_cost::DAILY_CHANGES;
use super::generated_config::{config_set, full_record, version_change};

/// Factors of the stated rate of changes at which the propagation is measured.
const RATE_FACTORS: [f64; 2] = [1.0, 20.0];

/// Longest time to wait until every reader has started.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Longest time to wait until a change is in force at a reader; the run fails after it.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);

/// The propagation times of changes at one rate.
#[derive(Debug, Clone)]
pub(super) struct PropagationMeasurement {
    /// Rate of changes per day.
    pub(super) daily_changes: f64,
    /// Number of changes that were appended.
    pub(super) changes: u64,
    /// Number of readers.
    pub(super) readers: usize,
    /// Median propagation time over all changes and readers.
    pub(super) p50: Duration,
    /// 99th percentile of the propagation time.
    pub(super) p99: Duration,
    /// Longest propagation time.
    pub(super) longest: Duration,
}

/// Measures the propagation at every rate, with readers that follow a stand-in of the log over
/// HTTP.
pub(super) async fn measure(options: &BenchOptions) -> io::Result<Vec<PropagationMeasurement>> {
    let standin = LogStandin::spawn(LogOptions::default()).await?;
    let log = HttpLog::new(standin.address());
    let mut writer = ChangeWriter::start(log, options.reader_adapters).await?;
    let followers: Vec<_> = (0..options.readers)
        .map(|_| {
            let log = Arc::new(HttpLog::new(standin.address()));
            ConfigFollower::spawn(log, FollowerOptions::default())
        })
        .collect();
    let views: Vec<_> = followers.iter().map(ConfigFollower::view).collect();
    wait_for_start(&views).await?;
    let mut measurements = Vec::new();
    for factor in RATE_FACTORS {
        let daily_changes = DAILY_CHANGES * factor;
        measurements.push(measure_rate(&mut writer, &views, daily_changes, options.time).await?);
    }
    Ok(measurements)
}

async fn wait_for_start(views: &[ConfigView]) -> io::Result<()> {
    let all_started = async {
        for view in views {
            view.wait_until_caught_up().await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, all_started)
        .await
        .map_err(|_| io::Error::other("not all readers started in time"))
}

/// Appends changes to the log one after the other.
struct ChangeWriter {
    log: HttpLog,
    history: ConfigHistory,
    adapters: usize,
}

impl ChangeWriter {
    async fn start(log: HttpLog, adapters: usize) -> io::Result<Self> {
        let mut writer = Self {
            log,
            history: ConfigHistory::new(),
            adapters,
        };
        writer.append(full_record(&config_set(adapters))).await?;
        Ok(writer)
    }

    async fn append(&mut self, record: bytes::Bytes) -> io::Result<ConfigRevision> {
        let appended = self.log.append(LogStream::Configuration, record.clone());
        let offset = appended.await.map_err(io::Error::other)?;
        self.history.apply_record(offset, &record);
        Ok(self.history.revision())
    }

    /// Appends a change of one adapter and returns the time before the append and the new revision.
    async fn change(&mut self, number: u64) -> io::Result<(Instant, ConfigRevision)> {
        let adapter = usize::try_from(number).unwrap_or(0) % self.adapters;
        let record = version_change(&self.history.catalogue(), adapter, number);
        let started = Instant::now();
        let revision = self.append(record).await?;
        Ok((started, revision))
    }
}

async fn measure_rate(
    writer: &mut ChangeWriter,
    views: &[ConfigView],
    daily_changes: f64,
    time: Duration,
) -> io::Result<PropagationMeasurement> {
    let interval = Duration::from_secs_f64(86_400.0 / daily_changes);
    let mut ticks = tokio::time::interval(interval);
    let end = Instant::now() + time;
    let mut propagating: JoinSet<io::Result<Duration>> = JoinSet::new();
    let mut changes = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let (started, revision) = writer.change(changes).await?;
        changes += 1;
        for view in views {
            propagating.spawn(propagation_time(view.clone(), started, revision));
        }
    }
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    while let Some(result) = propagating.join_next().await {
        let time = result.map_err(io::Error::other)??;
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        times.record(micros).map_err(io::Error::other)?;
    }
    let time_at = |quantile| Duration::from_micros(times.value_at_quantile(quantile));
    Ok(PropagationMeasurement {
        daily_changes,
        changes,
        readers: views.len(),
        p50: time_at(0.5),
        p99: time_at(0.99),
        longest: Duration::from_micros(times.max()),
    })
}

/// Returns the time from `started` until `revision` is in force at the reader of `view`.
async fn propagation_time(
    view: ConfigView,
    started: Instant,
    revision: ConfigRevision,
) -> io::Result<Duration> {
    let mut state = view.watch();
    let reached = state.wait_for(|state| state.revision >= revision);
    match tokio::time::timeout(PROPAGATION_TIMEOUT, reached).await {
        Ok(Ok(_)) => Ok(started.elapsed()),
        _ => Err(io::Error::other(
            "a change was not in force at a reader in time",
        )),
    }
}

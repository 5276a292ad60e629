//! How long a change takes from its append until it is in force at every reader.

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
use super::source::{config_set, full_record, version_change};

/// How many times the stated rate of changes is measured.
const RATE_FACTORS: [f64; 2] = [1.0, 20.0];

/// Longest time until every reader has started.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Longest time until a change is in force at a reader, after which the run has failed.
const REACH_TIMEOUT: Duration = Duration::from_secs(60);

/// Times from append to in force at one rate of changes.
#[derive(Debug, Clone)]
pub(super) struct InForceMeasure {
    pub(super) daily_changes: f64,
    pub(super) changes: u64,
    pub(super) readers: usize,
    pub(super) p50: Duration,
    pub(super) p99: Duration,
    pub(super) longest: Duration,
}

/// Measures every rate with readers that reach a stand-in of the log over HTTP.
pub(super) async fn measure(options: &BenchOptions) -> io::Result<Vec<InForceMeasure>> {
    let standin = LogStandin::spawn(LogOptions::default()).await?;
    let log = HttpLog::new(standin.address());
    let mut writer = ChangeWriter::open(log, options.held).await?;
    let followers: Vec<_> = (0..options.readers)
        .map(|_| {
            let log = Arc::new(HttpLog::new(standin.address()));
            ConfigFollower::spawn(log, FollowerOptions::default())
        })
        .collect();
    let views: Vec<_> = followers.iter().map(ConfigFollower::view).collect();
    await_start(&views).await?;
    let mut measures = Vec::new();
    for factor in RATE_FACTORS {
        let daily = DAILY_CHANGES * factor;
        measures.push(measure_rate(&mut writer, &views, daily, options.time).await?);
    }
    Ok(measures)
}

async fn await_start(views: &[ConfigView]) -> io::Result<()> {
    let starting = async {
        for view in views {
            view.caught_up().await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, starting)
        .await
        .map_err(|_| io::Error::other("the readers did not start in time"))
}

/// Appends changes one after the other.
struct ChangeWriter {
    log: HttpLog,
    history: ConfigHistory,
    held: usize,
}

impl ChangeWriter {
    async fn open(log: HttpLog, held: usize) -> io::Result<Self> {
        let mut writer = Self {
            log,
            history: ConfigHistory::new(),
            held,
        };
        writer.append(full_record(&config_set(held))).await?;
        Ok(writer)
    }

    async fn append(&mut self, record: bytes::Bytes) -> io::Result<ConfigRevision> {
        let appended = self.log.append(LogStream::Configuration, record.clone());
        let offset = appended.await.map_err(io::Error::other)?;
        self.history.apply_record(offset, &record);
        Ok(self.history.revision())
    }

    /// Changes one adapter, and returns the moment of the append with the revision.
    async fn change(&mut self, number: u64) -> io::Result<(Instant, ConfigRevision)> {
        let adapter = usize::try_from(number).unwrap_or(0) % self.held;
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
) -> io::Result<InForceMeasure> {
    let interval = Duration::from_secs_f64(86_400.0 / daily_changes);
    let mut ticks = tokio::time::interval(interval);
    let until = Instant::now() + time;
    let mut reaching: JoinSet<io::Result<Duration>> = JoinSet::new();
    let mut changes = 0;
    while Instant::now() < until {
        ticks.tick().await;
        let (started, revision) = writer.change(changes).await?;
        changes += 1;
        for view in views {
            reaching.spawn(reach(view.clone(), started, revision));
        }
    }
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    while let Some(reached) = reaching.join_next().await {
        let time = reached.map_err(io::Error::other)??;
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        times.record(micros).map_err(io::Error::other)?;
    }
    let at = |quantile| Duration::from_micros(times.value_at_quantile(quantile));
    Ok(InForceMeasure {
        daily_changes,
        changes,
        readers: views.len(),
        p50: at(0.5),
        p99: at(0.99),
        longest: Duration::from_micros(times.max()),
    })
}

/// Returns the time from `started` until `revision` is in force at one reader.
async fn reach(
    view: ConfigView,
    started: Instant,
    revision: ConfigRevision,
) -> io::Result<Duration> {
    let mut state = view.watch();
    let reached = state.wait_for(|state| state.revision >= revision);
    match tokio::time::timeout(REACH_TIMEOUT, reached).await {
        Ok(Ok(_)) => Ok(started.elapsed()),
        _ => Err(io::Error::other("a change did not reach a reader in time")),
    }
}

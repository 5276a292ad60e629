//! The memory of software versions in the platform's store, which outlives all entries and agents.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::time::WallTime;
use amaranth_dispatch::software_history::{RememberedVersion, StoredVersions};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::engine_port::PortError;
use crate::entry::EntryCore;

/// Time within which the store answers a read: a cross-region round trip, the store's own time, and
/// 100 ms for which a CPU quota may pause the process.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum time between two reads, which answer all questions that wait: many callers take their streams
/// up at once after an entry was lost.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Number of questions that wait for the same read.
const MAX_QUESTIONS: usize = 1_024;

/// Delay after the first failed publication; doubled with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after a failed publication.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// A question for what the store shows. An answer is missing if the store gave none.
type MemoryQuestion = oneshot::Sender<Option<Arc<StoredVersions>>>;

/// The place where entries remember the software versions that they saw.
pub trait SoftwareStore: Send + Sync + 'static {
    /// Writes versions over what is remembered of the same ones.
    fn publish(
        &self,
        versions: &[RememberedVersion],
    ) -> impl Future<Output = Result<(), PortError>> + Send;

    /// Reads the versions in the registry, and then all that are remembered.
    fn read(&self) -> impl Future<Output = Result<StoredVersions, PortError>> + Send;
}

/// The link between calls, which ask what the store shows, and the tasks that reach the store.
#[derive(Debug, Default)]
pub struct SoftwareMemory {
    questions: Mutex<Option<mpsc::Sender<MemoryQuestion>>>,
    unpublished: Notify,
}

impl SoftwareMemory {
    /// Schedules the publication of what the entry saw.
    pub fn notify_unpublished(&self) {
        self.unpublished.notify_one();
    }

    /// Reads what the store shows from now on. Returns nothing if the store does not answer in time.
    pub async fn read(&self) -> Option<Arc<StoredVersions>> {
        let sender = self.questions().clone()?;
        let (question, answer) = oneshot::channel();
        sender.try_send(question).ok()?;
        timeout(READ_INTERVAL + READ_TIMEOUT, answer)
            .await
            .ok()?
            .ok()?
    }

    fn questions(&self) -> MutexGuard<'_, Option<mpsc::Sender<MemoryQuestion>>> {
        self.questions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The tasks that reach the store. Dropping the handle aborts them.
#[derive(Debug)]
pub struct SoftwareTasks {
    tasks: [JoinHandle<()>; 2],
}

impl Drop for SoftwareTasks {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Spawns the tasks that publish the versions that an entry sees, and read those that are remembered.
pub fn spawn(core: &Arc<EntryCore>, store: impl SoftwareStore) -> SoftwareTasks {
    let (sender, questions) = mpsc::channel(MAX_QUESTIONS);
    *core.software_memory.questions() = Some(sender);
    let store = Arc::new(store);
    let (publisher, reader) = (Arc::clone(core), Arc::clone(core));
    let read_store = Arc::clone(&store);
    SoftwareTasks {
        tasks: [
            tokio::spawn(async move { publish_versions(&publisher, &*store).await }),
            tokio::spawn(async move { answer_questions(&reader, &*read_store, questions).await }),
        ],
    }
}

async fn publish_versions(core: &EntryCore, store: &impl SoftwareStore) {
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        core.software_memory.unpublished.notified().await;
        let versions = core.state().software.take_unpublished();
        if versions.is_empty() {
            continue;
        }
        if let Err(error) = store.publish(&versions).await {
            log::warn!("event=software_versions_not_published error={error}");
            core.state().software.restore_unpublished(versions);
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            core.software_memory.notify_unpublished();
        } else {
            retry_delay = MIN_RETRY_DELAY;
        }
    }
}

async fn answer_questions(
    core: &EntryCore,
    store: &impl SoftwareStore,
    mut questions: mpsc::Receiver<MemoryQuestion>,
) {
    let mut next_read_at = Instant::now();
    while let Some(question) = questions.recv().await {
        sleep_until(next_read_at).await;
        let mut waiting = vec![question];
        while let Ok(question) = questions.try_recv() {
            waiting.push(question);
        }
        waiting.retain(|question| !question.is_closed());
        if waiting.is_empty() {
            continue;
        }
        next_read_at = Instant::now() + READ_INTERVAL;
        let answer = read_versions(core, store).await;
        for question in waiting {
            // The receiver is gone when its time is over.
            let _ = question.send(answer.clone());
        }
    }
}

async fn read_versions(
    core: &EntryCore,
    store: &impl SoftwareStore,
) -> Option<Arc<StoredVersions>> {
    let versions = match timeout(READ_TIMEOUT, store.read()).await {
        Ok(Ok(versions)) => versions,
        Ok(Err(error)) => {
            log::warn!("event=software_versions_not_read error={error}");
            return None;
        }
        Err(_) => {
            log::warn!("event=software_versions_not_read error=\"no answer in time\"");
            return None;
        }
    };
    core.state().software.adopt(WallTime::now(), &versions);
    core.software_memory.notify_unpublished();
    Some(Arc::new(versions))
}

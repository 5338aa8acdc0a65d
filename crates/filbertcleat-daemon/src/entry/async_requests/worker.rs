//! The worker that finds asynchronous requests and runs them.

use std::sync::Arc;

use filbertcleat_base::NodeName;
use filbertcleat_config::AsyncSettings;
use filbertcleat_platform::Table;
use filbertcleat_platform::TableRow;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use super::row::AsyncRequestRow;
use super::row::AsyncRequestState;
use super::row::PREFIX;
use super::run::AsyncRequestRun;
use crate::entry::CallerContext;
use crate::entry::EntryEvent;
use crate::loop_event::LoopEvent;
use crate::loop_event::send_to_loop;

/// Finds asynchronous requests that no entry runs, and runs them.
#[derive(Debug)]
pub(crate) struct AsyncRequestWorker {
    context: CallerContext,
    settings: AsyncSettings,
    /// The id of this incarnation of the entry in the rows.
    holder: NodeName,
    /// Limits the requests that this entry runs at the same time.
    running_permits: Arc<Semaphore>,
    /// All rows up to this key are final, so scans start after it.
    cursor: String,
}

impl AsyncRequestWorker {
    /// The scans that all entries together make in one poll interval.
    const SCANS_PER_INTERVAL: usize = 4;
    /// The rows that one read of the table returns.
    const PAGE_ROWS: usize = 100;

    pub fn new(context: CallerContext, settings: AsyncSettings, holder: NodeName) -> Self {
        let running_permits = Arc::new(Semaphore::new(settings.running_max));
        Self { context, settings, holder, running_permits, cursor: String::new() }
    }

    /// Scans and runs requests until the task is dropped, while the entry is ready.
    pub async fn run(mut self) {
        loop {
            let intervals = self.live_entries().await.div_ceil(Self::SCANS_PER_INTERVAL).max(1);
            tokio::time::sleep(self.settings.poll_ms * intervals as u32).await;
            if self.context.is_ready() {
                self.scan().await;
            }
        }
    }

    /// Reads all rows after the cursor and runs the requests that no entry runs.
    async fn scan(&mut self) {
        let mut after = self.cursor.clone();
        let mut all_final = true;
        loop {
            let Some(rows) = self.context.table.list(PREFIX, &after, Self::PAGE_ROWS).await else {
                return;
            };
            let last_page = rows.len() < Self::PAGE_ROWS;
            for row in rows {
                after.clone_from(&row.key);
                let is_final = self.claim_if_free(row).await;
                all_final &= is_final;
                if all_final {
                    self.cursor.clone_from(&after);
                }
            }
            if last_page {
                return;
            }
        }
    }

    /// Runs a row's request if no entry runs it, and returns whether the row is final.
    async fn claim_if_free(&self, row: TableRow) -> bool {
        let Ok(async_row) = serde_json::from_str::<AsyncRequestRow>(&row.value) else {
            log::error!("event=bad-row key={}", row.key);
            return true;
        };
        let is_free = match &async_row.state {
            AsyncRequestState::Waiting => true,
            AsyncRequestState::Taken { holder } => {
                *holder != self.holder && !self.is_running(holder).await
            }
            AsyncRequestState::Done { .. }
            | AsyncRequestState::Unknown { .. }
            | AsyncRequestState::Failed { .. } => {
                return true;
            }
        };
        if !is_free {
            return false;
        }
        let Ok(permit) = Arc::clone(&self.running_permits).try_acquire_owned() else {
            return false;
        };
        let run = AsyncRequestRun {
            context: self.context.clone(),
            holder: self.holder.clone(),
            key: row.key,
            revision: row.revision,
            row: async_row,
        };
        tokio::spawn(async move {
            run.run().await;
            drop(permit);
        });
        false
    }

    async fn live_entries(&self) -> usize {
        let (reply, received_reply) = oneshot::channel();
        send_to_loop(
            &self.context.loop_sender,
            LoopEvent::Entry(EntryEvent::LiveEntryCount { reply }),
        );
        received_reply.await.unwrap_or(1)
    }

    async fn is_running(&self, holder: &NodeName) -> bool {
        let (reply, received_reply) = oneshot::channel();
        let event = EntryEvent::IsHolderRunning { holder: holder.clone(), reply };
        send_to_loop(&self.context.loop_sender, LoopEvent::Entry(event));
        received_reply.await.unwrap_or(true)
    }
}

//! Looks for accepted work and takes it up.

use std::sync::Arc;

use filbertcleat_base::NodeName;
use filbertcleat_config::AsyncSettings;
use filbertcleat_platform::Table;
use filbertcleat_platform::TableRow;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use super::row::PREFIX;
use super::row::WorkRow;
use super::row::WorkState;
use super::run::WorkRun;
use crate::entry::CallerGate;
use crate::entry::EntryEvent;
use crate::input::Input;
use crate::input::tell;

/// Looks for accepted work and takes it up.
#[derive(Debug)]
pub(crate) struct NightDesk {
    gate: CallerGate,
    settings: AsyncSettings,
    /// Names this start of the entry in the rows.
    holder: NodeName,
    places: Arc<Semaphore>,
    /// All rows up to this key are final.
    cursor: String,
}

impl NightDesk {
    /// The entries that look at the set interval; more of them look more rarely.
    const LOOKERS: usize = 4;
    /// The rows read at a time.
    const PAGE: usize = 100;

    pub fn new(gate: CallerGate, settings: AsyncSettings, holder: NodeName) -> Self {
        let places = Arc::new(Semaphore::new(settings.running_max));
        Self { gate, settings, holder, places, cursor: String::new() }
    }

    /// Works until the task is dropped; an entry that is not ready takes nothing up.
    pub async fn work(mut self) {
        loop {
            let crowd = self.entries().await.div_ceil(Self::LOOKERS).max(1);
            tokio::time::sleep(self.settings.poll_ms * crowd as u32).await;
            if self.gate.is_ready() {
                self.look().await;
            }
        }
    }

    async fn look(&mut self) {
        let mut after = self.cursor.clone();
        let mut all_final = true;
        loop {
            let Some(rows) = self.gate.table.list(PREFIX, &after, Self::PAGE).await else {
                return;
            };
            let last_page = rows.len() < Self::PAGE;
            for row in rows {
                after.clone_from(&row.key);
                let is_final = self.consider(row).await;
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

    /// Takes a row's work up if nobody runs it, and returns whether the row is final.
    async fn consider(&self, row: TableRow) -> bool {
        let Ok(work) = serde_json::from_str::<WorkRow>(&row.value) else {
            log::error!("event=bad-row key={}", row.key);
            return true;
        };
        let free = match &work.state {
            WorkState::Waiting => true,
            WorkState::Taken { holder } => *holder != self.holder && !self.is_running(holder).await,
            WorkState::Done { .. } | WorkState::Unknown { .. } | WorkState::Failed { .. } => {
                return true;
            }
        };
        if !free {
            return false;
        }
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
            return false;
        };
        let run = WorkRun {
            gate: self.gate.clone(),
            holder: self.holder.clone(),
            key: row.key,
            revision: row.revision,
            row: work,
        };
        tokio::spawn(async move {
            run.run().await;
            drop(place);
        });
        false
    }

    async fn entries(&self) -> usize {
        let (reply, answer) = oneshot::channel();
        tell(&self.gate.inputs, Input::Entry(EntryEvent::Entries { reply }));
        answer.await.unwrap_or(1)
    }

    async fn is_running(&self, holder: &NodeName) -> bool {
        let (reply, answer) = oneshot::channel();
        let event = EntryEvent::IsRunning { holder: holder.clone(), reply };
        tell(&self.gate.inputs, Input::Entry(event));
        answer.await.unwrap_or(true)
    }
}

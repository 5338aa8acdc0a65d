//! A catalogue in memory.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::NodeName;
use filbertcleat_base::Step;
use filbertcleat_gateway::Catalogue;
use filbertcleat_gateway::CatalogueData;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::CatalogueResponse;
use filbertcleat_gateway::KeepOutcome;
use filbertcleat_gateway::KeepResponse;
use filbertcleat_gateway::Topic;
use filbertcleat_gateway::WatchLimits;
use filbertcleat_serve::CrashMark;
use filbertcleat_serve::KeptRow;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::OriginRow;
use filbertcleat_serve::OutdatedRow;
use filbertcleat_serve::RouteRow;
use filbertcleat_serve::ServerId;
use tokio::time::Instant;

/// A catalogue in memory that tests write to.
#[derive(Clone, Debug, Default)]
pub struct TestCatalogue {
    rows: Rc<RefCell<Vec<(Topic, CatalogueEvent)>>>,
    epoch: Rc<Cell<Option<u64>>>,
    is_down: Rc<Cell<bool>>,
    is_expired: Rc<Cell<bool>>,
    calls: Rc<Cell<u32>>,
    /// The number of writes of the row that keeps marks that arrived.
    pub writes: Rc<Cell<u32>>,
    outdated: Rc<RefCell<Option<CatalogueEvent>>>,
    /// The topic whose next call panics.
    panics: Rc<Cell<Option<Topic>>>,
    /// The rows of origins and when they were written.
    origins: Rc<RefCell<OriginTable>>,
    /// The rows of origins that a restore brings back.
    origins_copy: Rc<RefCell<OriginTable>>,
    /// The row that keeps the targets of routes, and when it was written.
    routes: Rc<RefCell<Option<(RouteRow, Instant)>>>,
    /// The number of writes of the row of routes that arrived.
    pub route_writes: Rc<Cell<u32>>,
    /// The time that each list of origins takes.
    pub origin_delay: Rc<Cell<Duration>>,
    /// The number of lists of origins.
    pub origin_lists: Rc<Cell<u32>>,
    /// When rows of origins were written, also if that failed for their version.
    pub origin_writes: Rc<RefCell<Vec<Instant>>>,
    link: Rc<Link>,
}

/// The link between an entry and the catalogue.
#[derive(Debug, Default)]
struct Link {
    is_cut: Cell<bool>,
    /// The time that a response about the backend servers takes.
    servers_delay: Cell<Duration>,
    /// Calls of the topic up to this number get no answer.
    silenced: Cell<Option<(Topic, u32)>>,
    /// The topic whose next call gets no answer.
    silenced_next: Cell<Option<Topic>>,
    /// The topics of the calls that wait for changes.
    open_calls: RefCell<Vec<Topic>>,
}

type OriginTable = BTreeMap<NodeName, (OriginRow, Instant)>;

impl TestCatalogue {
    /// Creates a catalogue whose responses name their epoch.
    pub fn with_epoch(epoch: u64) -> Self {
        let catalogue = Self::default();
        catalogue.epoch.set(Some(epoch));
        catalogue
    }

    /// Returns the marks that entries keep.
    pub fn kept(&self) -> Vec<CrashMark> {
        kept_row(&self.rows.borrow()).marks
    }

    /// Publishes an event.
    pub fn write(&self, event: CatalogueEvent) {
        let topic = match event {
            CatalogueEvent::Listing(_) => Topic::Servers,
            CatalogueEvent::Deployment(_) | CatalogueEvent::AdapterVersion { .. } => {
                Topic::Operators
            }
            CatalogueEvent::Kept(_) => Topic::Facts,
            CatalogueEvent::Routes(row) => {
                *self.routes.borrow_mut() = Some((row, Instant::now()));
                return;
            }
            CatalogueEvent::Origins(row) => {
                self.origins.borrow_mut().insert(row.node.clone(), (row, Instant::now()));
                return;
            }
        };
        self.rows.borrow_mut().push((topic, event));
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
    }

    /// Returns the same catalogue behind a link of its own.
    pub fn with_own_link(&self) -> Self {
        Self { link: Rc::default(), ..self.clone() }
    }

    /// Makes all calls over this link fail, or succeed again.
    pub fn set_cut(&self, is_cut: bool) {
        self.link.is_cut.set(is_cut);
    }

    /// Sets the time that responses about the backend servers take on this link.
    pub fn delay_servers(&self, delay: Duration) {
        self.link.servers_delay.set(delay);
    }

    async fn deliver(&self, topic: Topic) {
        if topic == Topic::Servers {
            tokio::time::sleep(self.link.servers_delay.get()).await;
        }
    }

    /// Expires all cursors, so that every topic has to be listed again.
    pub fn expire_cursors(&self) {
        self.is_expired.set(true);
    }

    /// Returns the current version, which is the number of events so far.
    pub fn version(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Returns the version of the newest configuration; 0 without one.
    pub fn configuration_version(&self) -> u64 {
        let rows = self.rows.borrow();
        let mut versions = rows.iter().rev().filter_map(|(_, event)| match event {
            CatalogueEvent::Deployment(deployment) => Some(deployment.version),
            CatalogueEvent::AdapterVersion { .. }
            | CatalogueEvent::Listing(_)
            | CatalogueEvent::Kept(_)
            | CatalogueEvent::Routes(_)
            | CatalogueEvent::Origins(_) => None,
        });
        versions.next().unwrap_or(0)
    }

    /// Restores the copy of a version, which has no row of routes, and begins the next epoch.
    pub fn restore(&self, version: usize) {
        self.rows.borrow_mut().truncate(version);
        *self.origins.borrow_mut() = self.origins_copy.borrow().clone();
        self.routes.borrow_mut().take();
        self.epoch.set(self.epoch.get().map(|epoch| epoch + 1));
    }

    /// Takes the copy of the rows of origins that the next restore brings back.
    pub fn copy_origins(&self) {
        *self.origins_copy.borrow_mut() = self.origins.borrow().clone();
    }

    /// Returns the rows of origins with their ages.
    pub fn origin_rows(&self) -> Vec<OriginRow> {
        self.origins.borrow().values().map(|(row, at)| aged(row, *at)).collect()
    }

    /// Returns the row that keeps the targets of routes; version 0 if there is none.
    pub fn route_row(&self) -> RouteRow {
        let row = self.routes.borrow();
        row.as_ref().map_or_else(RouteRow::default, |(row, at)| aged_routes(row, *at))
    }

    /// Leaves the calls of a topic that are open now without an answer.
    pub fn silence_open_calls(&self, topic: Topic) {
        self.link.silenced.set(Some((topic, self.calls.get())));
    }

    /// Makes the open connection of a topic silent: its open call gets no answer, or the next one if
    /// none is open.
    pub fn silence_connection(&self, topic: Topic) {
        if self.link.open_calls.borrow().contains(&topic) {
            self.silence_open_calls(topic);
        } else {
            self.link.silenced_next.set(Some(topic));
        }
    }

    /// Makes the next call of a topic panic.
    pub fn panic_next(&self, topic: Topic) {
        self.panics.set(Some(topic));
    }

    /// Makes the next change of the event's topic arrive from the epoch before.
    pub fn answer_outdated(&self, event: CatalogueEvent) {
        *self.outdated.borrow_mut() = Some(event);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u32 {
        self.calls.get()
    }

    fn begin_call(&self) -> u32 {
        self.calls.set(self.calls.get() + 1);
        self.calls.get()
    }

    fn respond(&self, result: Result<CatalogueData, Fault>) -> CatalogueResponse {
        CatalogueResponse { epoch: self.epoch.get(), result }
    }

    fn after(&self, topic: Topic, cursor: u64) -> Result<CatalogueData, Fault> {
        if self.is_down.get() || self.link.is_cut.get() {
            return Err(Fault::new(Step::Store, "test", "down"));
        }
        let rows = self.rows.borrow();
        if cursor > rows.len() as u64 {
            return Ok(CatalogueData::CursorExpired);
        }
        let events = rows.iter().skip(cursor as usize).filter(|(row_topic, _)| *row_topic == topic);
        let events = events.map(|(_, event)| event.clone()).collect();
        Ok(CatalogueData::Events { events, cursor: rows.len() as u64, size_bytes: 0 })
    }
}

impl Catalogue for TestCatalogue {
    async fn list(&self, topic: Topic) -> CatalogueResponse {
        self.begin_call();
        if topic == Topic::Origins {
            self.origin_lists.set(self.origin_lists.get() + 1);
            tokio::time::sleep(self.origin_delay.get()).await;
            let events = self.origin_rows().into_iter().map(CatalogueEvent::Origins).collect();
            let data = self.after(topic, 0).map(|_| CatalogueData::Events {
                events,
                cursor: 0,
                size_bytes: 0,
            });
            return self.respond(data);
        }
        self.is_expired.set(false);
        let entries = self.after(topic, 0).map(|data| match data {
            CatalogueData::Events { events, cursor, size_bytes } => {
                let mut events = current(topic, events);
                if topic == Topic::Facts && self.route_row().version > 0 {
                    events.push(CatalogueEvent::Routes(self.route_row()));
                }
                CatalogueData::Events { events, cursor, size_bytes }
            }
            CatalogueData::CursorExpired | CatalogueData::Oversized => data,
        });
        self.deliver(topic).await;
        self.respond(entries)
    }

    async fn watch(&self, topic: Topic, after: u64, limits: WatchLimits) -> CatalogueResponse {
        const CHECK_INTERVAL: Duration = Duration::from_millis(20);
        let call = self.begin_call();
        if self.panics.get() == Some(topic) {
            self.panics.set(None);
            panic!("a call that panics");
        }
        if self.link.silenced_next.get() == Some(topic) {
            self.link.silenced_next.set(None);
            self.link.silenced.set(Some((topic, call)));
        }
        let _open = OpenCall::begin(&self.link, topic);
        let mut waited = Duration::ZERO;
        loop {
            let is_silent = |(silent, last)| silent == topic && call <= last;
            if self.link.silenced.get().is_some_and(is_silent) {
                tokio::time::sleep(limits.silence.saturating_sub(waited)).await;
                let fault = Fault::new(Step::Store, "test", "no answer");
                return CatalogueResponse { epoch: None, result: Err(fault) };
            }
            if self.is_expired.get() {
                return self.respond(Ok(CatalogueData::CursorExpired));
            }
            if let Some(event) = self.outdated.borrow_mut().take_if(|_| topic == Topic::Operators) {
                let events = vec![event];
                let data = CatalogueData::Events { events, cursor: after, size_bytes: 0 };
                let epoch = self.epoch.get().map(|epoch| epoch - 1);
                return CatalogueResponse { epoch, result: Ok(data) };
            }
            let changes = self.after(topic, after).map(latest);
            let is_empty =
                matches!(&changes, Ok(CatalogueData::Events { events, .. }) if events.is_empty());
            if !is_empty || waited >= limits.wait {
                self.deliver(topic).await;
                return self.respond(changes);
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
            waited += CHECK_INTERVAL;
        }
    }

    async fn keep_routes(&self, row: &RouteRow) -> KeepResponse<RouteRow> {
        self.begin_call();
        let epoch = self.epoch.get();
        if let Err(fault) = self.after(Topic::Facts, 0) {
            return KeepResponse { epoch, result: Err(fault) };
        }
        self.route_writes.set(self.route_writes.get() + 1);
        let current = self.route_row();
        if current.version != row.version {
            return KeepResponse { epoch, result: Ok(KeepOutcome::Conflict(current)) };
        }
        let version = u64::from(self.calls.get());
        let row = RouteRow { version, ..row.clone() };
        *self.routes.borrow_mut() = Some((row, Instant::now()));
        KeepResponse { epoch, result: Ok(KeepOutcome::Written { version }) }
    }

    async fn keep_origins(&self, row: &OriginRow) -> KeepResponse<OriginRow> {
        self.begin_call();
        self.origin_writes.borrow_mut().push(Instant::now());
        let epoch = self.epoch.get();
        if let Err(fault) = self.after(Topic::Origins, 0) {
            return KeepResponse { epoch, result: Err(fault) };
        }
        let mut origins = self.origins.borrow_mut();
        let absent = OriginRow { node: row.node.clone(), version: 0, content: None };
        let current = origins.get(&row.node).map_or(absent, |(row, at)| aged(row, *at));
        if current.version != row.version {
            return KeepResponse { epoch, result: Ok(KeepOutcome::Conflict(current)) };
        }
        let version = u64::from(self.calls.get());
        let row = OriginRow { version, ..row.clone() };
        origins.insert(row.node.clone(), (row, Instant::now()));
        KeepResponse { epoch, result: Ok(KeepOutcome::Written { version }) }
    }

    async fn remove_origins(&self, rows: &[OutdatedRow]) -> Result<(), Fault> {
        self.begin_call();
        self.after(Topic::Origins, 0)?;
        let mut origins = self.origins.borrow_mut();
        let is_current = |row: &OutdatedRow| {
            origins.get(&row.node).is_some_and(|(current, _)| current.version == row.version)
        };
        if !rows.iter().all(is_current) {
            return Err(Fault::new(Step::Store, "test", "conflict"));
        }
        origins.retain(|node, _| rows.iter().all(|row| row.node != *node));
        Ok(())
    }

    async fn keep(&self, row: &KeptRow) -> KeepResponse<KeptRow> {
        self.begin_call();
        let epoch = self.epoch.get();
        if self.is_down.get() {
            let result = Err(Fault::new(Step::Store, "test", "down"));
            return KeepResponse { epoch, result };
        }
        self.writes.set(self.writes.get() + 1);
        let current = kept_row(&self.rows.borrow());
        if current.version != row.version {
            return KeepResponse { epoch, result: Ok(KeepOutcome::Conflict(current)) };
        }
        let version = self.rows.borrow().len() as u64 + 1;
        self.write(CatalogueEvent::Kept(KeptRow { version, marks: row.marks.clone() }));
        KeepResponse { epoch, result: Ok(KeepOutcome::Written { version }) }
    }
}

/// A call that waits for changes, until it is dropped.
struct OpenCall {
    link: Rc<Link>,
    topic: Topic,
}

impl OpenCall {
    fn begin(link: &Rc<Link>, topic: Topic) -> Self {
        link.open_calls.borrow_mut().push(topic);
        Self { link: Rc::clone(link), topic }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let open_calls = &mut *self.link.open_calls.borrow_mut();
        let position = open_calls.iter().position(|topic| *topic == self.topic);
        open_calls.remove(position.expect("the call is open"));
    }
}

/// Returns a row of origins as it is read some time after it was written.
fn aged(row: &OriginRow, written_at: Instant) -> OriginRow {
    let ms = u64::try_from(written_at.elapsed().as_millis()).expect("a short test");
    let mut row = row.clone();
    if let Some(content) = &mut row.content {
        content.age_ms += ms;
        content.versions.iter_mut().for_each(|version| version.age_ms += ms);
        content.streams.iter_mut().for_each(|stream| stream.age_ms += ms);
    }
    row
}

/// Returns a row of routes as it is read some time after it was written.
fn aged_routes(row: &RouteRow, written_at: Instant) -> RouteRow {
    let ms = u64::try_from(written_at.elapsed().as_millis()).expect("a short test");
    let mut row = row.clone();
    let routes = row.routes.iter_mut().flatten();
    routes.filter_map(|route| route.moved_age_ms.as_mut()).for_each(|age_ms| *age_ms += ms);
    row
}

/// Returns the row that keeps marks.
fn kept_row(rows: &[(Topic, CatalogueEvent)]) -> KeptRow {
    let mut kept = rows.iter().rev().filter_map(|(_, event)| match event {
        CatalogueEvent::Kept(row) => Some(row.clone()),
        _ => None,
    });
    kept.next().unwrap_or_default()
}

/// Keeps the last change of each backend server, since the catalogue names a changed key once, and a
/// removed one without its record.
fn latest(data: CatalogueData) -> CatalogueData {
    let CatalogueData::Events { events, cursor, size_bytes } = data else { return data };
    let mut latest: Vec<CatalogueEvent> = Vec::new();
    for event in events {
        if let Some(id) = server_id(&event) {
            latest.retain(|earlier| server_id(earlier) != Some(id));
        }
        latest.push(event);
    }
    CatalogueData::Events { events: latest, cursor, size_bytes }
}

/// Returns the backend server whose record an event changes.
fn server_id(event: &CatalogueEvent) -> Option<&ServerId> {
    let CatalogueEvent::Listing(change) = event else { return None };
    match change {
        ListingChange::Snapshot(_) => None,
        ListingChange::Upserted(listed) => Some(&listed.id),
        ListingChange::Removed(id) | ListingChange::Invalid(id) => Some(id),
    }
}

/// Returns the current entries of a topic: of the servers' topic, the complete list.
fn current(topic: Topic, events: Vec<CatalogueEvent>) -> Vec<CatalogueEvent> {
    match topic {
        Topic::Operators => {
            let is_configuration =
                |event: &CatalogueEvent| matches!(event, CatalogueEvent::Deployment(_));
            let last = events.iter().rposition(is_configuration);
            // A row holds the newest configuration only.
            let is_current = |index| last.is_none_or(|last| index >= last);
            let kept = events.into_iter().enumerate();
            kept.filter(|(index, event)| is_current(*index) || !is_configuration(event))
                .map(|(_, event)| event)
                .collect()
        }
        Topic::Origins => events,
        Topic::Facts => events.into_iter().next_back().into_iter().collect(),
        Topic::Servers => {
            let mut list: Vec<ListedServer> = Vec::new();
            for event in events {
                let CatalogueEvent::Listing(change) = event else { continue };
                match change {
                    ListingChange::Snapshot(all) => list = all,
                    ListingChange::Upserted(listed) => {
                        list.retain(|known| known.id != listed.id);
                        list.push(listed);
                    }
                    ListingChange::Removed(id) | ListingChange::Invalid(id) => {
                        list.retain(|known| known.id != id);
                    }
                }
            }
            vec![CatalogueEvent::Listing(ListingChange::Snapshot(list))]
        }
    }
}

//! The allowances of workspaces, put together from the metrics of all processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use filbertcleat_base::Step;
use filbertcleat_platform::HttpClient;
use filbertcleat_platform::HttpRequest;
use http::Method;

use crate::error::ClientError;

/// The time that a process is given to respond. It renders its metrics within a few ms.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest page of metrics that is read: many times that of a process with all its series.
const PAGE_MAX_BYTES: usize = 1024 * 1024;
/// The workspace that stands for all those without metrics of their own.
pub const OTHERS: &str = "other";
/// The bucket that serves only entries whose own bucket does not respond.
const STANDBY: &str = "standby";

/// The allowances of workspaces over all processes.
#[derive(Debug, Default)]
pub struct Allowances {
    /// The workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceAllowance>,
    /// The processes without a usable response, with the reason.
    pub silent: Vec<(String, String)>,
    responded: usize,
    names: BTreeMap<String, String>,
    /// The levels of buckets, by the hash of the workspace's name.
    levels: Vec<(String, u64)>,
}

/// The allowance of a workspace.
#[derive(Debug, Default)]
pub struct WorkspaceAllowance {
    /// The rate; 0 for the workspaces without metrics of their own.
    pub rate_per_s: u64,
    /// The burst.
    pub burst: u64,
    /// What it has used per second in the last seconds, at all entries.
    pub use_per_s: u64,
    /// The tokens left in its buckets but the standby; `None` if no agent shows one of them.
    pub tokens_left: Option<u64>,
    /// The number of these buckets.
    pub buckets: u64,
    /// Requests over the allowance.
    pub refused: u64,
    /// Requests for which too few agents responded.
    pub unknown: u64,
}

impl Allowances {
    /// Queries all processes. Those that don't respond are named; fails if none does.
    pub async fn query(addresses: &[String]) -> Result<Self, ClientError> {
        let client = HttpClient::new(PROCESS_TIMEOUT);
        let distinct: BTreeSet<&String> = addresses.iter().collect();
        let pages: Vec<_> = distinct
            .into_iter()
            .map(|address| {
                let (client, address) = (client.clone(), address.clone());
                let page = tokio::spawn({
                    let address = address.clone();
                    async move { read_page(&client, &address).await }
                });
                (address, page)
            })
            .collect();
        let mut allowances = Self::default();
        for (address, page) in pages {
            match page.await.unwrap_or_else(|error| Err(error.to_string())) {
                Ok(text) => allowances.add(&text),
                Err(reason) => allowances.silent.push((address, reason)),
            }
        }
        if allowances.responded == 0 {
            let reasons: Vec<_> = allowances
                .silent
                .iter()
                .map(|(address, reason)| format!("{address}: {reason}"))
                .collect();
            return Err(ClientError::NoMetrics { reason: reasons.join("; ") });
        }
        allowances.name_levels();
        Ok(allowances)
    }

    /// Adds the metrics of one process.
    fn add(&mut self, text: &str) {
        self.responded += 1;
        for line in text.lines() {
            if let Some(series) = Series::parse(line) {
                self.add_series(&series);
            }
        }
    }

    fn add_series(&mut self, series: &Series<'_>) {
        let value = series.value;
        if series.name == "level" {
            let bucket = series.tag("bucket").and_then(|bucket| bucket.split_once('/'));
            let main = bucket.filter(|(_, number)| *number != STANDBY);
            self.levels.extend(main.map(|(hash, _)| (hash.to_owned(), value)));
            return;
        }
        let Some(name) = series.tag("workspace") else { return };
        let workspace = self.workspaces.entry(name.to_owned()).or_default();
        match (series.name, series.tag("outcome")) {
            // Entries differ only while they apply a new configuration.
            ("rate", _) => workspace.rate_per_s = workspace.rate_per_s.max(value),
            ("burst", _) => workspace.burst = workspace.burst.max(value),
            ("use", _) => workspace.use_per_s += value,
            ("requests", Some("refused")) => workspace.refused += value,
            ("requests", Some("unknown")) => workspace.unknown += value,
            _ => {}
        }
        if let Some(hash) = series.tag("hash") {
            self.names.insert(hash.to_owned(), name.to_owned());
        }
    }

    /// Adds the levels of buckets to their workspaces. The buckets of workspaces that no entry names
    /// are left out.
    fn name_levels(&mut self) {
        for (hash, level) in std::mem::take(&mut self.levels) {
            let name = self.names.get(&hash);
            let Some(workspace) = name.and_then(|name| self.workspaces.get_mut(name)) else {
                continue;
            };
            workspace.buckets += 1;
            *workspace.tokens_left.get_or_insert(0) += level;
        }
    }
}

/// One series of the metrics of allowances.
struct Series<'a> {
    /// The name without its prefix.
    name: &'a str,
    tags: &'a str,
    value: u64,
}

impl<'a> Series<'a> {
    /// Parses a line; `None` for lines of other metrics.
    fn parse(line: &'a str) -> Option<Self> {
        let (series, value) = line.rsplit_once(' ')?;
        let (name, tags) = series.strip_prefix("filbertcleat_allowance_")?.split_once('{')?;
        Some(Self { name, tags: tags.strip_suffix('}')?, value: value.parse().ok()? })
    }

    fn tag(&self, name: &str) -> Option<&'a str> {
        self.tags.split(',').find_map(|tag| {
            let (tag_name, value) = tag.split_once('=')?;
            (tag_name == name).then(|| value.trim_matches('"'))
        })
    }
}

/// Reads the metrics of a process.
async fn read_page(client: &HttpClient, address: &str) -> Result<String, String> {
    let url = format!("http://{}/metrics", address.trim_start_matches("http://"));
    let call = HttpRequest::new(Step::Call, Method::GET, url).with_response_max(PAGE_MAX_BYTES);
    let response = client.send(call).await.map_err(|error| error.to_string())?;
    if !response.status.is_success() {
        return Err(format!("status {}", response.status.as_u16()));
    }
    String::from_utf8(response.body.into()).map_err(|error| error.to_string())
}

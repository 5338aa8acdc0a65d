//! Gossip with lost messages, failed processes and network partitions.

use std::collections::BTreeSet;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_config::Role;
use filbertcleat_member::MemberRecord;
use filbertcleat_member::MemberSettings;
use filbertcleat_member::MemberState;
use filbertcleat_member::Membership;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const TICK_MS: u64 = 50;

/// A simulated cluster with message loss, failed processes and a network partition.
struct Cluster {
    nodes: Vec<Membership>,
    failed: BTreeSet<usize>,
    /// The processes on the other side of the network partition.
    partitioned: BTreeSet<usize>,
    /// The probability that a message is lost.
    loss: f64,
    now_ms: u64,
    rng: SmallRng,
}

impl Cluster {
    fn new(count: usize, loss: f64) -> Self {
        let nodes = (0..count).map(|number| {
            let local = MemberRecord {
                name: name(number),
                address: number.to_string(),
                region: "r".into(),
                failure_domain: "p".into(),
                role: Role::Agent,
                state: MemberState::Live,
                incarnation: 1,
                sequence: 1,
                config_version: ConfigVersion::default(),
                replica: None,
            };
            let settings = MemberSettings { seed: number as u64, ..MemberSettings::default() };
            Membership::new(settings, local, vec!["0".to_owned(), "1".to_owned()])
        });
        Self {
            nodes: nodes.collect(),
            failed: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            loss,
            now_ms: 1,
            rng: SmallRng::seed_from_u64(11),
        }
    }

    fn run(&mut self, seconds: u64) {
        let end_ms = self.now_ms + seconds * 1000;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            for from in 0..self.nodes.len() {
                if !self.failed.contains(&from) {
                    self.tick(from);
                }
            }
        }
    }

    fn tick(&mut self, from: usize) {
        let now = MonoTime::from_ms(self.now_ms);
        for action in self.nodes[from].tick(now) {
            let to: usize = action.address.parse().expect("addresses are numbers");
            let partitioned = self.partitioned.contains(&from) != self.partitioned.contains(&to);
            let mut lost = || self.rng.random_bool(self.loss);
            let arrives = !self.failed.contains(&to) && !partitioned && !lost();
            let answer = arrives.then(|| self.nodes[to].receive(now, &action.digest));
            match (answer.filter(|_| !lost()), action.to) {
                (Some(answer), _) => self.nodes[from].on_reply(now, &answer),
                (None, Some(name)) => self.nodes[from].on_failure(now, &name),
                (None, None) => {}
            }
        }
    }

    /// Returns the number of running processes that see `subject` in the given state.
    fn observers(&self, subject: usize, state: MemberState) -> usize {
        let running =
            (0..self.nodes.len()).filter(|node| !self.failed.contains(node) && *node != subject);
        running.filter(|node| self.state(*node, subject) == Some(state)).count()
    }

    fn state(&self, node: usize, subject: usize) -> Option<MemberState> {
        self.nodes[node].record(&name(subject)).map(|record| record.state)
    }
}

fn name(number: usize) -> NodeName {
    format!("node-{number}").into()
}

#[rstest]
#[case(0.0)]
#[case(0.05)]
#[case(0.2)]
fn all_discovered(#[case] loss: f64) {
    let mut cluster = Cluster::new(40, loss);
    cluster.run(30);
    for subject in 0..40 {
        let known = (0..40).filter(|node| cluster.state(*node, subject).is_some()).count();
        assert_eq!(known, 40, "node {subject}");
    }
}

#[test]
fn no_false_failures() {
    let mut cluster = Cluster::new(40, 0.05);
    cluster.run(20);
    for _ in 0..60 {
        cluster.run(2);
        for subject in 0..40 {
            // A running process must not count as gone at more than 1% of the others.
            assert_eq!(cluster.observers(subject, MemberState::Gone), 0, "node {subject}");
        }
    }
}

#[rstest]
#[case(0.0)]
#[case(0.2)]
fn rack_failure(#[case] loss: f64) {
    let mut cluster = Cluster::new(40, loss);
    cluster.run(30);
    cluster.failed.extend(30..38);
    cluster.run(30);
    for subject in 30..38 {
        assert_eq!(cluster.observers(subject, MemberState::Gone), 32, "node {subject}");
    }
}

#[rstest]
#[case(0.0)]
#[case(0.05)]
fn leaving_spreads(#[case] loss: f64) {
    let mut cluster = Cluster::new(40, loss);
    cluster.run(30);
    cluster.nodes[7].set_state(MemberState::Leaving);
    // A leaving process must get no new requests after 3 s.
    cluster.run(3);
    assert_eq!(cluster.observers(7, MemberState::Leaving), 39);
}

#[test]
fn leaving_has_priority() {
    let mut cluster = Cluster::new(160, 0.0);
    cluster.run(30);
    // A new configuration version changes every record, which delays the leaving record unless it
    // has priority.
    for node in &mut cluster.nodes {
        node.set_config_version(ConfigVersion::new(5));
    }
    cluster.run(2);
    cluster.nodes[150].set_state(MemberState::Leaving);
    cluster.run(3);
    assert_eq!(cluster.observers(150, MemberState::Leaving), 159);
}

#[rstest]
#[case(0.0)]
#[case(0.05)]
fn version_spreads(#[case] loss: f64) {
    let mut cluster = Cluster::new(40, loss);
    cluster.run(30);
    cluster.nodes[3].set_config_version(ConfigVersion::new(9));
    // A new version must reach all processes within 6 s.
    cluster.run(6);
    for node in &mut cluster.nodes {
        let notified = node.take_events().into_iter().any(|event| {
            matches!(event, filbertcleat_member::MemberEvent::NewerConfig { version, .. } if version.value() == 9)
        });
        assert!(notified || node.local().config_version.value() == 9, "{}", node.local().name);
    }
}

#[test]
fn partition_heals() {
    let mut cluster = Cluster::new(40, 0.05);
    cluster.run(30);
    cluster.partitioned.extend(20..40);
    cluster.run(120);
    assert_eq!(cluster.observers(30, MemberState::Gone), 20);
    cluster.partitioned.clear();
    cluster.run(60);
    for subject in 0..40 {
        assert_eq!(cluster.observers(subject, MemberState::Live), 39, "node {subject}");
    }
}

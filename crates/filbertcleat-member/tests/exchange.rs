//! The exchange with messages lost, processes gone and parts cut off.

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

/// Processes whose messages are lost or cut off as a test says.
struct Group {
    nodes: Vec<Membership>,
    dead: BTreeSet<usize>,
    /// Processes on the other side of a cut.
    apart: BTreeSet<usize>,
    loss: f64,
    now_ms: u64,
    rng: SmallRng,
}

impl Group {
    fn new(count: usize, loss: f64) -> Self {
        let nodes = (0..count).map(|number| {
            let me = MemberRecord {
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
            Membership::new(settings, me, vec!["0".to_owned(), "1".to_owned()])
        });
        Self {
            nodes: nodes.collect(),
            dead: BTreeSet::new(),
            apart: BTreeSet::new(),
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
                if !self.dead.contains(&from) {
                    self.tick(from);
                }
            }
        }
    }

    fn tick(&mut self, from: usize) {
        let now = MonoTime::from_ms(self.now_ms);
        for action in self.nodes[from].tick(now) {
            let to: usize = action.address.parse().expect("addresses are numbers");
            let cut = self.apart.contains(&from) != self.apart.contains(&to);
            let mut lost = || self.rng.random_bool(self.loss);
            let arrives = !self.dead.contains(&to) && !cut && !lost();
            let answer = arrives.then(|| self.nodes[to].receive(now, &action.digest));
            match (answer.filter(|_| !lost()), action.to) {
                (Some(answer), _) => self.nodes[from].on_reply(now, &answer),
                (None, Some(name)) => self.nodes[from].on_failure(now, &name),
                (None, None) => {}
            }
        }
    }

    /// Returns how many of the living see `subject` in a state.
    fn seen(&self, subject: usize, state: MemberState) -> usize {
        let living =
            (0..self.nodes.len()).filter(|node| !self.dead.contains(node) && *node != subject);
        living.filter(|node| self.state(*node, subject) == Some(state)).count()
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
fn all_meet(#[case] loss: f64) {
    let mut group = Group::new(40, loss);
    group.run(30);
    for subject in 0..40 {
        let known = (0..40).filter(|node| group.state(*node, subject).is_some()).count();
        assert_eq!(known, 40, "node {subject}");
    }
}

#[test]
fn live_stays() {
    let mut group = Group::new(40, 0.05);
    group.run(20);
    for _ in 0..60 {
        group.run(2);
        for subject in 0..40 {
            // No live process is taken for gone by more than 1% of the others.
            assert_eq!(group.seen(subject, MemberState::Gone), 0, "node {subject}");
        }
    }
}

#[rstest]
#[case(0.0)]
#[case(0.2)]
fn rack_gone(#[case] loss: f64) {
    let mut group = Group::new(40, loss);
    group.run(30);
    group.dead.extend(30..38);
    group.run(30);
    for subject in 30..38 {
        assert_eq!(group.seen(subject, MemberState::Gone), 32, "node {subject}");
    }
}

#[rstest]
#[case(0.0)]
#[case(0.05)]
fn leaving_spreads(#[case] loss: f64) {
    let mut group = Group::new(40, loss);
    group.run(30);
    group.nodes[7].set_state(MemberState::Leaving);
    // A leaving server is to get no new work after 3 s.
    group.run(3);
    assert_eq!(group.seen(7, MemberState::Leaving), 39);
}

#[test]
fn leaving_goes_first() {
    let mut group = Group::new(160, 0.0);
    group.run(30);
    // A new version changes every record, so that much is passed on at the time.
    for node in &mut group.nodes {
        node.set_config_version(ConfigVersion::new(5));
    }
    group.run(2);
    group.nodes[150].set_state(MemberState::Leaving);
    group.run(3);
    assert_eq!(group.seen(150, MemberState::Leaving), 159);
}

#[rstest]
#[case(0.0)]
#[case(0.05)]
fn version_spreads(#[case] loss: f64) {
    let mut group = Group::new(40, loss);
    group.run(30);
    group.nodes[3].set_config_version(ConfigVersion::new(9));
    // A version is to be in force everywhere within 6 s.
    group.run(6);
    for node in &mut group.nodes {
        let told = node.take_events().into_iter().any(|event| {
            matches!(event, filbertcleat_member::MemberEvent::NewerConfig { version, .. } if version.value() == 9)
        });
        assert!(told || node.local().config_version.value() == 9, "{}", node.local().name);
    }
}

#[test]
fn parts_rejoin() {
    let mut group = Group::new(40, 0.05);
    group.run(30);
    group.apart.extend(20..40);
    group.run(120);
    assert_eq!(group.seen(30, MemberState::Gone), 20);
    group.apart.clear();
    group.run(60);
    for subject in 0..40 {
        assert_eq!(group.seen(subject, MemberState::Live), 39, "node {subject}");
    }
}

//! Whether workspaces get equal shares of engine time when capacity is short.

mod support;

use filbertcleat_base::ServiceName;
use filbertcleat_base::WorkspaceName;
use filbertcleat_serve::EngineTime;
use filbertcleat_serve::FairShares;
use filbertcleat_serve::FlowId;
use filbertcleat_serve::LateRequests;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::RequestQueue;
use rstest::rstest;

use self::support::at;
use self::support::demand;
use self::support::engine_spec;
use self::support::fleet;
use self::support::id;
use self::support::local_domain;
use self::support::share_replay::Replay;
use self::support::share_replay::SPEED;
use self::support::share_replay::Sender;
use self::support::share_replay::Share;
use self::support::share_replay::satisfaction;
use self::support::share_replay::worst_tenth;

/// Sixteen of these need five sixths of the engines' time.
const USUAL: Sender = Sender { interval_ms: 450.0, prompt_tokens: (200, 6_800), is_steady: false };
/// A workspace that sends six times its usual requests.
const HOT: Sender = Sender { interval_ms: 75.0, ..USUAL };
/// A workspace that always asks for more than its share, in long prompts only. One that asks for
/// less, in bursts, is not entitled to the time that it leaves between them.
const LONG: Sender = Sender { interval_ms: 300.0, prompt_tokens: (6_000, 6_800), is_steady: false };
/// A workspace that at no time asks for more than its share, which is a request of this size per
/// 350 ms.
const STEADY: Sender =
    Sender { interval_ms: 450.0, prompt_tokens: (1_500, 2_000), is_steady: true };

/// Returns sixteen workspaces, of which the first ones are given.
fn workspaces(first: &[Sender], others: Sender, seed: u64) -> Replay {
    let mut senders = vec![others; 16];
    senders[..first.len()].copy_from_slice(first);
    Replay {
        senders,
        names_workspaces: true,
        outage_ms: None,
        seed,
        counted_from_ms: 6_000,
        counted_until_ms: 24_000,
        length_ms: 24_000,
    }
}

/// Checks the bounds of docs/design/workspaces-and-load.md.
fn assert_fair(shares: &[Share]) {
    let served: u32 = shares.iter().map(|share| share.served).sum();
    let offered: u32 = shares.iter().map(|share| share.offered).sum();
    let served_part = f64::from(served) / f64::from(offered);
    for (number, share) in shares.iter().enumerate() {
        let part = share.served_part();
        assert!(part >= served_part / 4.0, "workspace {number}: {part:.2} of {served_part:.2}");
    }
    let wrongly_refused: u32 = shares.iter().map(|share| share.wrongly_refused).sum();
    assert_eq!(wrongly_refused, 0, "requests of workspaces within their shares were refused");
    let worst = worst_tenth(&satisfaction(shares));
    assert!(worst >= 0.9, "the worst tenth got {worst:.2} of the mean");
}

/// Guards against a hot workspace taking the engine time of the others, whose requests would then be
/// given up.
#[rstest]
fn hot_workspace_costs_nothing(#[values(1, 2, 3)] seed: u64) {
    let usual = workspaces(&[], USUAL, seed).play();

    let shares = workspaces(&[HOT], USUAL, seed).play();

    assert_fair(&shares);
    let refused = |shares: &[Share]| -> u32 {
        shares[1..].iter().map(|share| share.offered - share.served).sum()
    };
    assert!(refused(&shares) <= refused(&usual), "{} refused", refused(&shares));
}

/// Guards against several hot workspaces taking more than their shares, and against their being
/// refused all.
#[rstest]
fn hot_workspaces_share(#[values(1, 2, 3)] seed: u64) {
    let shares = workspaces(&[HOT; 3], USUAL, seed).play();

    assert_fair(&shares);
}

/// Guards against requests of a workspace within its share waiting behind those of a hot one: the
/// mean time to the first event may grow by the time in which an engine reads one of the longest
/// prompts.
#[rstest]
#[case::hot_1(1, 1)]
#[case::hot_2(1, 2)]
#[case::hot_3(1, 3)]
#[case::three_hot_1(3, 1)]
#[ignore = "KNOWN-RED 15"]
#[case::three_hot_2(3, 2)]
#[ignore = "KNOWN-RED 15"]
#[case::three_hot_3(3, 3)]
fn steady_workspace_is_not_delayed(#[case] hot: usize, #[case] seed: u64) {
    let usual = workspaces(&[], STEADY, seed).play();

    let shares = workspaces(&[HOT; 3][..hot], STEADY, seed).play();

    let prefill_ms = HOT.prompt_tokens.1 as f64 / SPEED.tokens_per_ms;
    for (number, (share, usual)) in shares.iter().zip(&usual).enumerate().skip(hot) {
        let (late_ms, usual_ms) = (share.mean_latency_ms(), usual.mean_latency_ms());
        assert!(late_ms <= usual_ms + prefill_ms, "workspace {number}: {late_ms} of {usual_ms} ms");
        assert_eq!(share.served, share.offered);
    }
}

/// Guards against equal shares of requests instead of time, and against short prompts that always fit
/// in before long ones.
#[rstest]
fn long_prompts_get_share(#[values(1, 3)] hot: usize, #[values(1, 2, 3)] seed: u64) {
    let shares = workspaces(&[LONG, HOT, HOT, HOT][..=hot], USUAL, seed).play();

    assert_fair(&shares);
}

/// Guards against the callers that come first after an outage, or most of them, being served before
/// all others. Counts what is sent while requests of the outage are queued, so that all workspaces
/// wait. Their prompts are short, so that a share of this time is many requests.
#[rstest]
fn returning_callers_share(#[values(1, 2, 3)] seed: u64) {
    let short = Sender { interval_ms: 200.0, prompt_tokens: (200, 1_500), is_steady: false };
    let replay = Replay {
        outage_ms: Some((10_000, 16_000)),
        counted_from_ms: 16_000,
        counted_until_ms: 18_000,
        length_ms: 20_000,
        ..workspaces(&[], short, seed)
    };

    assert_fair(&replay.play());
}

/// Requests for the same service, of the workspaces that are given by letters, in the order of
/// arrival. A dot stands for no workspace.
struct Queued {
    shares: FairShares,
    requests: Vec<(char, FlowId)>,
}

impl Queued {
    const TIME: EngineTime = EngineTime { ms_per_prompt_token: 0.1, batch_limit: 64 };

    fn new(workspaces: &str) -> Self {
        let mut queued = Self { shares: FairShares::default(), requests: Vec::new() };
        queued.push(workspaces);
        queued
    }

    fn push(&mut self, workspaces: &str) {
        for workspace in workspaces.chars() {
            let name = (workspace != '.').then(|| WorkspaceName::new(&workspace.to_string()));
            let demand = RequestDemand { workspace: name, ..demand("x", 1_000) };
            let number = self.requests.len() as u64;
            self.requests.push((workspace, self.shares.push(number, &demand)));
        }
    }

    fn numbers(&self) -> Option<Vec<u64>> {
        let order = self.shares.order(|_: &ServiceName| Self::TIME, &LateRequests::new())?;
        Some(order.into_iter().map(|(_, number)| number).collect())
    }

    fn order(&self) -> String {
        let numbers = self.numbers().expect("there are workspaces");
        numbers.into_iter().map(|number| self.requests[number as usize].0).collect()
    }

    /// Sends the first requests, while all others wait for capacity.
    fn send(&mut self, count: usize) {
        for number in self.numbers().expect("there are workspaces").into_iter().take(count) {
            self.shares.on_sent(self.requests[number as usize].1, number, Self::TIME);
        }
        let waiting = self.numbers().unwrap_or_default();
        let waiting = waiting.into_iter().map(|number| self.requests[number as usize].1);
        self.shares.on_pass(waiting.collect::<Vec<_>>());
    }
}

#[test]
fn workspaces_take_turns() {
    assert_eq!(Queued::new("aaaabb").order(), "babaaa");
}

/// Guards against a workspace that was idle being served for the whole time that it missed.
#[test]
fn idle_earns_no_credit() {
    let mut queued = Queued::new("aaaaaaaaaaaa");
    queued.send(8);

    queued.push("bbb");

    assert_eq!(queued.order(), "bababaa");
}

/// Guards against a workspace paying later for engine time that nobody else asked for.
#[test]
fn spare_time_is_free() {
    let mut queued = Queued::new("aaaaaaaa");
    queued.send(8);

    queued.push("aabb");

    assert_eq!(queued.order(), "abab");
}

/// Guards against a workspace being charged for requests that were given up, so that it is served
/// after all others for as long as they would have taken.
#[test]
fn refused_requests_are_free() {
    let mut queued = Queued::new("aaaaaaaabbbb");
    for number in 0..8 {
        queued.shares.remove(queued.requests[number].1, number as u64);
    }

    queued.push("aaaa");

    assert_eq!(queued.order(), "babababa");
}

/// Guards against a change of the order in deployments without workspaces.
#[test]
fn arrival_order_without_workspaces() {
    assert_eq!(Queued::new("......").numbers(), None);

    let (mut fleet, spec) = (fleet(at(0), &[("a", &["x"])]), engine_spec());
    let mut queue = RequestQueue::new(7);
    let priorities = [2, 1, 0, 1, 2, 0];
    let mut tickets: Vec<_> = priorities
        .into_iter()
        .map(|priority| {
            let demand = RequestDemand { priority, ..demand("x", 100) };
            (priority, queue.push(at(0), demand, Vec::new()))
        })
        .collect();
    tickets.sort_by_key(|(priority, _)| *priority);

    let sent = queue.dispatch(at(0), &mut fleet, &local_domain(), |_| Some(&spec));

    let sent: Vec<_> = sent.into_iter().map(|sent| sent.ticket).collect();
    assert_eq!(sent, tickets.into_iter().map(|(_, ticket)| ticket).collect::<Vec<_>>());
}

/// Guards against an urgent workspace sharing with others, and against requests without a workspace
/// having no share.
#[test]
fn priority_precedes_share() {
    let mut queued = Queued::new("aaa..");
    let urgent = RequestDemand {
        priority: 0,
        workspace: Some(WorkspaceName::new("u")),
        ..demand("x", 9_000)
    };
    let flow = queued.shares.push(5, &urgent);
    queued.requests.push(('u', flow));

    assert_eq!(queued.order(), "u.a.aa");
}

/// Guards against the adapters of a workspace with many requests being loaded before all others.
#[test]
fn loads_follow_share() {
    let (mut fleet, spec) = (fleet(at(0), &[("a", &[])]), engine_spec());
    let mut queue = RequestQueue::new(7);
    for (name, adapter) in [("a", "x"), ("a", "y"), ("a", "z"), ("b", "w")] {
        let workspace = Some(WorkspaceName::new(name));
        queue.push(at(0), RequestDemand { workspace, ..demand(adapter, 100) }, Vec::new());
    }

    queue.dispatch(at(0), &mut fleet, &local_domain(), |_| Some(&spec));

    let demands = queue.adapter_demand(&id("a"));
    let adapters: Vec<_> = demands.iter().map(|demand| demand.key.adapter.as_str()).collect();
    assert_eq!(adapters, ["w", "x", "y", "z"]);
}

/// Guards against callers of a workspace within its share being told to stay away for as long as a
/// hot one keeps the engines busy.
#[test]
fn wait_estimate_respects_share() {
    let fleet = fleet(at(0), &[("a", &["x"])]);
    let mut queue = RequestQueue::new(7);
    let of = |name| RequestDemand { workspace: Some(WorkspaceName::new(name)), ..demand("x", 200) };
    let wait = |queue: &RequestQueue, name| queue.estimated_wait_ms(at(1), &fleet, &of(name));
    let alone_ms = wait(&queue, "b").expect("there is an engine");
    for _ in 0..40 {
        queue.push(at(0), of("a"), Vec::new());
    }

    let (hot_ms, other_ms) =
        (wait(&queue, "a").expect("engine"), wait(&queue, "b").expect("engine"));

    assert!(other_ms <= alone_ms * 3, "{other_ms} of {alone_ms} ms");
    assert!(hot_ms >= alone_ms * 40, "{hot_ms} of {alone_ms} ms");
}

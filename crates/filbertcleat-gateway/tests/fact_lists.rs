//! Lists of all facts that an agent sends to entries whose facts differ.

mod support;

use std::net::Ipv4Addr;
use std::time::Duration;

use filbertcleat_wire::v1;
use filbertcleat_wire::v1::crash_mark::Suspect;
use filbertcleat_wire::v1::datagram::Update;
use prost::Message;
use tokio::net::UdpSocket;

use self::support::Backend;
use self::support::Script;
use self::support::World;
use self::support::idle_agent::free_peer_port;
use self::support::idle_agent::start_agent;

const FACTS: u64 = 400;

fn datagram(update: Update) -> Vec<u8> {
    v1::Datagram { update: Some(update) }.encode_to_vec()
}

/// Load pattern: many entries start at once, or have facts that can't be made equal.
#[test]
fn lists_rate_limited() {
    World::run(async {
        let ip = Ipv4Addr::new(127, 0, 200, 1);
        let port = free_peer_port(ip).await;
        let backend = Backend::start_at("w1", ip, Script::Silent).await;
        start_agent(&backend, port).await;
        let entry = UdpSocket::bind((Ipv4Addr::new(127, 0, 200, 2), 0)).await.expect("a port");
        entry.connect((ip, port)).await.expect("loopback works");
        let facts = (0..FACTS).map(|part| v1::Fact {
            fact: Some(v1::fact::Fact::Crash(v1::CrashMark {
                suspect: Some(Suspect::Part(part)),
                ..v1::CrashMark::default()
            })),
        });
        let facts = v1::Facts { facts: facts.collect(), complete: false };
        entry.send(&datagram(Update::Facts(facts))).await.expect("sent");
        let (mut lists, mut buffer) = (0, vec![0; 65_507]);
        for sequence in 1..=200 {
            let update = v1::EntryUpdate {
                entry: 1,
                sequence,
                facts_digest: Some(7),
                ..v1::EntryUpdate::default()
            };
            entry.send(&datagram(Update::Entry(update))).await.expect("sent");
            tokio::time::sleep(Duration::from_millis(1)).await;
            while let Ok(length) = entry.try_recv(&mut buffer) {
                let received = v1::Datagram::decode(&buffer[..length]).expect("a valid message");
                let Some(Update::Facts(list)) = received.update else { continue };
                assert!(list.complete && list.facts.len() as u64 == FACTS);
                lists += 1;
            }
        }

        // A list of 400 facts each 40 ms.
        assert!((2..=6).contains(&lists), "{lists} lists in 200 ms");
    });
}

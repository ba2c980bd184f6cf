//! What gateways tell each other about gateways: which ones run, and since when they have not been seen.

use std::{net::SocketAddr, time::Duration};

use alderbay::{
    routing::{GatewayLocation, GatewaySighting, PeerTable},
    units::Moment,
};
use googletest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;

fn location(n: usize) -> GatewayLocation {
    let address = SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_000));
    GatewayLocation { address, failure_domain: "a".parse().unwrap() }
}

/// Guards against gateways that are gone and count on, since those that are left tell each other of
/// them: they would be chosen as readers, and shares of limits would be too small.
#[gtest]
fn gateway_that_is_gone_is_forgotten() {
    /// Age from which a gateway no longer counts, and one up to which all know it.
    const COUNTED: Duration = Duration::from_secs(10);
    for (count, seed) in [(3, 1), (9, 2), (99, 3)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gone = 0;
        let mut tables: Vec<_> = (0..count).map(|n| PeerTable::new(location(n), &[])).collect();
        let all: Vec<_> = (0..count).map(location).collect();
        for table in &mut tables {
            table.record_seen(all.clone(), Moment(SECOND));
        }
        // The lowest address is everybody's reader until it is gone, at two seconds.
        let gone_at = Moment(2 * SECOND);
        let mut now = gone_at.0;
        // All poll each other, as in an outage of the store.
        while now < 90 * SECOND {
            for one in 1..count {
                let other = rng.random_range(1..count);
                let answered_at = now + rng.random_range(0..100 * MILLISECOND);
                let sightings = tables[other].sightings(Moment(answered_at));
                let text = serde_json::to_string(&sightings).unwrap();
                let sightings: Vec<GatewaySighting> = serde_json::from_str(&text).unwrap();
                let received_at = Moment(answered_at + rng.random_range(0..100 * MILLISECOND));
                tables[one].record_sightings(sightings, Moment(now), received_at);
                let age = received_at.since(gone_at);
                let is_counted = tables[one].recent(received_at).contains(&location(gone));
                assert_that!(is_counted && age > COUNTED, eq(false), "{count} gateways, {age:?}");
                let is_reader = tables[one].reader(received_at) == Some(location(gone).address);
                assert_that!(
                    is_reader && age > COUNTED / 2,
                    eq(false),
                    "{count} gateways, {age:?}"
                );
            }
            now += 300 * MILLISECOND;
        }
        // Those that speak to each other know each other.
        let known = tables[count - 1].recent(Moment(now)).len();
        assert_that!(known, ge(2), "{count} gateways");
        assert_that!(tables[1].addresses().any(|it| it == location(gone).address), eq(false));
    }
}

/// Gateways of earlier releases do not say when they saw the others.
#[gtest]
fn sighting_without_age_adds_no_gateway() {
    let mut table = PeerTable::new(location(0), &[location(1).address]);
    let text = serde_json::to_string(&[location(1), location(2)]).unwrap();
    let sightings: Vec<GatewaySighting> = serde_json::from_str(&text).unwrap();
    table.record_sightings(sightings, Moment(SECOND), Moment(SECOND));
    assert_that!(table.addresses().collect::<Vec<_>>(), eq(&vec![location(1).address]));
    assert_that!(table.count(Moment(SECOND)), eq(1));
    assert_that!(table.reader(Moment(SECOND)), none());
}

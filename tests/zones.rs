//! Jobs that are bound to zones, and machines that come where these are: what is lost in a zone is rented there.

mod common;

use common::{Store, machine_type, spec, up};
use coppergw::autoscaler::model::{Host, HostState};
use coppergw::autoscaler::{Decision, Outlook, decide};
use coppergw::jobs::model::{Block, Placement, Record, Room, Slot, Spec};
use coppergw::policy::Policy;
use coppergw::scheduling::{Open, Plan, Scene, plan};
use coppergw::store::cluster_state::View;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::user::{Rank, Shape};
use foldhash::{HashMap, HashMapExt};
use proptest::prelude::*;

const NOW: Micros = 500 * SECOND;

/// A fleet over three zones of machines with 16 CPUs.
struct Site(Store);

impl Site {
    fn new() -> Site {
        let mut s = Store::default();
        let mut t = machine_type("cpu", 16.0, 0.0);
        t.yards = vec!["a".into(), "b".into(), "c".into()];
        s.put(keys::TYPES.into(), &vec![t]);
        Site(s)
    }

    fn host(&mut self, id: &str, zone: &str, state: HostState) {
        let h = Host {
            zone: zone.into(),
            state,
            ..up("cpu")
        };
        self.0.put(keys::host(id), &h);
    }

    fn job(&mut self, id: &str, s: &Spec, slots: Vec<Slot>) {
        self.0.put(keys::job(id), &Record(s.clone(), Block(slots)));
    }

    fn view(&self) -> View {
        let mut v = View::default();
        for (rev, key, x) in &self.0.log {
            match x {
                Some(x) => v.put(key, x, *rev),
                None => v.delete(key, *rev),
            }
        }
        v.rev = self.0.rev;
        v
    }

    fn decide(&self, refused: &dyn Fn(&str, bool) -> bool) -> Decision {
        let v = self.view();
        let forecast = forecast(&v);
        decide(&Outlook {
            view: &v,
            forecast: &forecast,
            policy: &Policy::default(),
            objectives: &[],
            teams: &[],
            wall: NOW,
            refused: &|_, zone, spot| refused(zone, spot),
            idle_since: &HashMap::new(),
            per_charter: 50,
            up: &|_| false,
        })
    }
}

fn forecast(v: &View) -> Plan {
    plan(&Scene {
        view: v,
        wall: NOW,
        teams: &[],
        objectives: &[],
        open: &|_, h| {
            let counts = matches!(h.state, HostState::Up | HostState::Booting);
            counts.then_some(Open {
                session: h.session,
                mine: true,
            })
        },
        freed: &HashMap::new(),
        held_back: &|_| false,
        home: &|_| true,
        mine: &|_| true,
        gangs: true,
        arrays: true,
        steps: true,
        forecast: true,
        writes: None,
    })
}

fn job(rank: Rank, tasks: u32, cpus: i64) -> Spec {
    Spec {
        rank,
        room: Room {
            cpus: cpus * 1000,
            gpus: 0,
            memory: 1000,
        },
        estimate: 60 * SECOND,
        submitted: NOW - 5 * SECOND,
        ..spec(Shape::Array, tasks)
    }
}

fn bound(rank: Rank, tasks: u32, zone: &str) -> Spec {
    Spec {
        zone: Some(zone.into()),
        ..job(rank, tasks, 4)
    }
}

fn zones(d: &Decision) -> Vec<&str> {
    let mut list: Vec<&str> = d.rent.iter().map(|c| c.zone.as_str()).collect();
    list.dedup();
    list
}

/// Its zone has lost its machines, the others have room and are cheaper to no one. Beside it other work waits that
/// may go anywhere: machines were rented for all of it where it was cheapest, and it waited there for good.
#[test]
fn what_is_bound_to_a_zone_is_rented_for_there() {
    let mut s = Site::new();
    for k in 0..6 {
        s.host(&format!("m-{k}"), "a", HostState::Up);
    }
    s.job("req-1", &bound(Rank::Low, 8, "b"), Vec::new());
    assert_eq!(zones(&s.decide(&|_, _| false)), ["b"]);
    s.job("req-2", &job(Rank::Low, 400, 4), Vec::new());
    let d = s.decide(&|_, _| false);
    assert!(
        zones(&d).contains(&"b") && zones(&d).contains(&"a"),
        "{d:?}"
    );
    // Cheap ones are gone there, then all: the others are of no use to it.
    let d = s.decide(&|zone, spot| zone == "b" && spot);
    assert!(d.rent.iter().any(|c| c.zone == "b" && !c.spot));
    let d = s.decide(&|zone, _| zone == "b");
    assert!(!zones(&d).contains(&"b") && !d.rent.is_empty());
    let mut alone = Site::new();
    alone.job("req-1", &bound(Rank::Low, 8, "b"), Vec::new());
    assert!(alone.decide(&|zone, _| zone == "b").rent.is_empty());
}

/// Room in its own zone is what counts: no machines come for what the zone has room for.
#[test]
fn what_has_room_in_its_zone_is_not_rented_for() {
    let mut s = Site::new();
    s.host("m-1", "b", HostState::Up);
    s.host("m-2", "b", HostState::Booting);
    s.job("req-1", &bound(Rank::Normal, 8, "b"), Vec::new());
    assert!(s.decide(&|_, _| false).rent.is_empty());
}

fn placed(host: &str) -> Slot {
    Slot::Placed(Placement {
        attempt: 1,
        host: host.into(),
        session: 1,
        stop: None,
    })
}

/// At most half of its tasks may be in one zone, and one zone is gone: the rest comes in another, where it may go.
#[test]
fn what_has_to_be_spread_is_rented_for_where_it_may_go() {
    for kind in [Shape::Service, Shape::Array] {
        let mut s = Site::new();
        s.host("m-1", "a", HostState::Up);
        let wide = Spec {
            kind,
            rank: Rank::High,
            spread: true,
            ..job(Rank::High, 4, 4)
        };
        let slots = vec![
            placed("m-1"),
            placed("m-1"),
            Slot::Waiting(1),
            Slot::Waiting(1),
        ];
        s.job("req-1", &wide, slots.clone());
        // For services some room is kept besides, wherever.
        let of = |d: Decision| {
            let list = d.rent.into_iter().map(|c| c.zone);
            let list = list.filter(|z| kind == Shape::Array || z != "a");
            list.collect::<Vec<String>>()
        };
        assert_eq!(of(s.decide(&|_, _| false)), ["b"], "two are in a");
        assert_eq!(of(s.decide(&|zone, _| zone == "b")), ["c"]);
        // All in one zone: where the first are.
        let close = Spec {
            one_zone: true,
            spread: false,
            ..wide
        };
        let mut s = Site::new();
        s.host("m-1", "c", HostState::Up);
        s.job("req-1", &close, vec![placed("m-1"), Slot::Waiting(1)]);
        let full = job(Rank::High, 1, 12);
        s.job("req-2", &full, vec![placed("m-1")]);
        assert_eq!(of(s.decide(&|_, _| false)), ["c"]);
    }
}

/// Machines close while nothing waits. What comes then and is not worth a rental still gets their room, before it
/// has waited for long.
#[test]
fn room_on_closing_machines_is_for_what_waited_long() {
    let reopened = |waited: Micros| {
        let mut s = Site::new();
        for k in 0..40 {
            let id = format!("m-{k}");
            s.host(&id, "a", HostState::Up);
            s.job(
                &format!("req-{k}"),
                &job(Rank::Low, 1, 16),
                vec![placed(&id)],
            );
        }
        s.host("m-90", "a", HostState::Closing);
        let late = Spec {
            submitted: NOW - waited,
            estimate: SECOND,
            ..job(Rank::Low, 1, 4)
        };
        s.job("req-99", &late, Vec::new());
        s.decide(&|_, _| false).reopen.len()
    };
    assert_eq!(reopened(5 * SECOND), 0, "what runs ends soon");
    assert_eq!(reopened(60 * SECOND), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(39), ..ProptestConfig::default() })]

    /// Whatever waits where: each zone with bound work that has no room and may be had is rented in, or has machines
    /// that boot; and no zone that nobody asked for gets any.
    #[test]
    fn every_zone_with_bound_work_gets_machines(
        hosts in proptest::collection::vec((0usize..3, any::<bool>()), 0..8),
        jobs in proptest::collection::vec((0usize..4, 0usize..2, 1u32..40), 1..10),
    ) {
        let names = ["a", "b", "c"];
        let mut s = Site::new();
        for (k, (zone, boots)) in hosts.iter().enumerate() {
            let state = if *boots { HostState::Booting } else { HostState::Up };
            s.host(&format!("m-{k}"), names[*zone], state);
        }
        let mut anywhere = false;
        for (k, (zone, rank, tasks)) in jobs.iter().enumerate() {
            let rank = [Rank::Normal, Rank::Low][*rank];
            match names.get(*zone) {
                Some(z) => s.job(&format!("req-{k}"), &bound(rank, *tasks, z), Vec::new()),
                None => {
                    anywhere = true;
                    s.job(&format!("req-{k}"), &job(rank, *tasks, 4), Vec::new());
                }
            }
        }
        let v = s.view();
        let lacks: Vec<&str> = {
            let f = forecast(&v);
            let zone = |id: &str| v.jobs[id].spec.zone.as_deref();
            names.into_iter().filter(|z| f.unplaced.iter().any(|(id, _)| zone(id) == Some(z))).collect()
        };
        let d = s.decide(&|_, _| false);
        for z in names {
            let rented = zones(&d).contains(&z);
            prop_assert!(rented || !lacks.contains(&z), "{z}: {d:?}");
            prop_assert!(!rented || lacks.contains(&z) || anywhere, "{z}: {d:?}");
        }
    }
}

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::event::Event;
use super::leader::{LEADERS, VersionRule, lead};
use super::world::World;

/// Number of times that the tasks get their turn, so that each has made its next call.
const TURNS: usize = 4;
/// Time that passes when both leaders wait for it.
const IDLE_TIME: Duration = Duration::from_millis(50);
/// Number of events after which a run ends, since a leader may repeat an order without end.
const MAX_EVENTS: usize = 400;

/// A deviation from the plain course: the number of the event, and the choice made there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Deviation {
    pub(super) at: usize,
    pub(super) choice: usize,
}

/// A run that has ended.
pub(super) struct Ended {
    /// Number of choices at each event.
    pub(super) choices: Vec<usize>,
    /// What happened.
    pub(super) events: Vec<Event>,
    /// Passes that began under two maps.
    pub(super) split_passes: Vec<u64>,
}

/// Plays a run with these deviations.
pub(super) fn play(ranks: usize, rule: VersionRule, deviations: &[Deviation]) -> Ended {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(play_run(World::new(ranks), rule, deviations))
}

async fn play_run(world: Arc<World>, rule: VersionRule, deviations: &[Deviation]) -> Ended {
    let leaders: Vec<_> =
        (0..LEADERS).map(|number| tokio::spawn(lead(Arc::clone(&world), number, rule))).collect();
    let (mut choices, mut events) = (Vec::new(), Vec::new());
    let mut last_leader = 0;
    while events.len() < MAX_EVENTS {
        for _ in 0..TURNS {
            yield_now().await;
        }
        if leaders.iter().all(|leader| leader.is_finished()) {
            break;
        }
        if world.calls().is_empty() {
            sleep(IDLE_TIME).await;
            continue;
        }
        let possible = Event::possible(&world, last_leader);
        let deviation = deviations.iter().find(|deviation| deviation.at == events.len());
        let event = possible[deviation.map_or(0, |deviation| deviation.choice) % possible.len()];
        last_leader = event.apply(&world).unwrap_or(last_leader);
        choices.push(possible.len());
        events.push(event);
    }
    while world.late_orders() > 0 {
        world.begin_passes();
        world.carry_out_late(0);
    }
    while world.group.next_marked_pass().is_some() && world.group.begin_pass() {}
    Ended { choices, events, split_passes: world.group.split_passes() }
}

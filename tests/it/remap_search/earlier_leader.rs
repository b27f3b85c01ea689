use super::layout::{HOLDER, RANKS};
use super::sent::Sent;
use super::variant::Variant;
use super::world::World;

impl World {
    /// The earlier leader sends its next orders.
    pub(super) fn earlier_leader(&self, variant: Variant, worlds: &mut Vec<Self>) {
        let sent = self.sent;
        let mut send = |change: &dyn Fn(&mut Sent)| {
            let mut world = self.clone();
            change(&mut world.sent);
            if world != *self {
                worlds.push(world);
            }
        };
        send(&|sent| sent.hold = true);
        for rank in (0..RANKS).filter(|rank| sent.may_arm(*rank, variant)) {
            send(&|sent| sent.arm[rank] = true);
        }
        if sent.armed.iter().all(|armed| *armed) {
            send(&|sent| sent.release = true);
        }
    }

    /// Carries out an order of the earlier leader, or a late one of the next.
    pub(super) fn late_orders(&self, variant: Variant, worlds: &mut Vec<Self>) {
        let takes = |rank: usize| self.takes(rank, 0, variant);
        if self.sent.hold && takes(HOLDER) && !self.begun && !self.ranks[HOLDER].held {
            let mut world = self.clone();
            world.ranks[HOLDER].held = true;
            worlds.push(world.clone());
            world.sent.held = true;
            worlds.push(world);
        }
        for rank in (0..RANKS).filter(|rank| self.sent.arm[*rank] && takes(*rank) && !self.begun) {
            let mut world = self.clone();
            world.ranks[rank].armed = true;
            worlds.push(world.clone());
            world.sent.armed[rank] = true;
            worlds.push(world);
        }
        if self.sent.release && takes(HOLDER) && self.ranks[HOLDER].held {
            let mut world = self.clone();
            world.ranks[HOLDER].held = false;
            worlds.push(world);
        }
        for at in 0..self.late.len() {
            let mut world = self.clone();
            let late = world.late.remove(at);
            if self.takes(late.rank, late.number, variant) {
                world.ranks[late.rank].carry_out(late.order, late.number, self.begun);
            }
            worlds.push(world);
        }
    }
}

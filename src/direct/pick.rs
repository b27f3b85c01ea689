use std::sync::Arc;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::course::Course;
use super::dispatcher::Dispatcher;
use super::order::Order;
use super::{EngineLoad, Targets, Upstream, Verdict, View, choose, loads};
use crate::outcome::{Reason, Refusal};

/// Ties between equally loaded upstreams are broken by less than a request.
const TIE_SPREAD: f64 = 0.3;

/// An upstream, and what was known of it as it was chosen.
#[derive(Debug)]
pub(super) struct Chosen {
    pub(super) upstream: Arc<Upstream>,
    pub(super) view: View,
}

impl Dispatcher {
    /// Chooses among the upstreams that were not tried yet. A request that is not admitted is
    /// refused before its first attempt.
    pub(super) fn pick(&self, order: &Order, course: &Course) -> Result<Chosen, Refusal> {
        let upstreams = self.roster.of(&order.service.name);
        let candidates: SmallVec<[&Arc<Upstream>; 16]> = upstreams
            .iter()
            .filter(|upstream| !upstream.is_draining() && !course.has_tried(&upstream.listed.id))
            .collect();
        let now = Instant::now();
        let views: SmallVec<[View; 16]> =
            candidates.iter().map(|upstream| upstream.view(&order.state.pulse, now)).collect();
        let loads = loads(&views);
        if course.attempts == 0 {
            let own = views.iter().map(|view| view.own).sum();
            self.admit(order, &loads, own, now)?;
        }
        let near = |at: usize| candidates[at].listed.domain == self.domain;
        let chosen = choose(&views, &loads, near, |_| rand::random_range(0.0..TIE_SPREAD));
        let chosen = chosen.ok_or(Refusal::not_run(Reason::NoUpstream))?;
        Ok(Chosen { upstream: Arc::clone(candidates[chosen]), view: views[chosen] })
    }

    fn admit(&self, order: &Order, loads: &[f64], own: u32, now: Instant) -> Result<(), Refusal> {
        let Some(engine) = order.service.engine.filter(|_| !loads.is_empty()) else {
            return Ok(());
        };
        let pace = &order.state.pace;
        let mut load = EngineLoad {
            engine,
            mean: loads.iter().sum::<f64>() / loads.len() as f64,
            least: loads.iter().copied().fold(f64::INFINITY, f64::min),
            gap: pace.gap(now),
            life: pace.life(),
            own,
            silence: order.state.pulse.silence(now),
        };
        if load.stands() && order.state.pulse.may_probe(now) {
            load.silence = None;
        }
        let targets = Targets { first: order.route.target, gap: order.route.gap_target };
        match load.judge(&targets) {
            Verdict::Admit => Ok(()),
            Verdict::Refuse(back) => {
                self.log_refused(order, &load, load.places(&targets));
                Err(Refusal::not_run(Reason::Overload).retry_after(back))
            }
        }
    }
}

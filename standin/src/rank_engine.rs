use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonyusher::group::LayerMap;
use ebonyusher::net::{Handler, WholeBody, collect, text_answer};
use ebonyusher::switch::{MapId, PrefetchOrder};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::Crashable;

const MAX_BODY_BYTES: u64 = 64 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A model engine stand-in that is one rank of a lock-stepped group.
#[derive(Debug)]
pub struct RankEngine {
    rank: usize,
    check_fences: bool,
    /// Time to fetch the weights of one expert from the weight store.
    fetch_time: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Layer and expert of all weights that the rank holds.
    held: HashSet<(usize, u16)>,
    /// Maps that the rank has received.
    maps: HashMap<MapId, Vec<LayerMap>>,
    fence: u64,
    stale_orders: u64,
    fetches: u64,
}

impl RankEngine {
    /// Creates a rank without weights. It refuses orders with an old fencing token if
    /// `check_fences` is true.
    pub fn new(rank: usize, check_fences: bool, fetch_time: Duration) -> Self {
        Self { rank, check_fences, fetch_time, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loads the weights that a map assigns to this rank without the time to fetch them, as at the
    /// start of an engine.
    pub fn load(&self, layers: &[LayerMap]) {
        let mut state = self.lock();
        state.maps.insert(MapId::default(), layers.to_vec());
        for (layer, map) in layers.iter().enumerate() {
            state.held.extend(map.held(self.rank).iter().map(|expert| (layer, *expert)));
        }
    }

    /// Returns whether the rank holds all weights that a map assigns to it.
    pub fn holds(&self, layers: &[LayerMap]) -> bool {
        let state = self.lock();
        layers.iter().enumerate().all(|(layer, map)| {
            map.held(self.rank).iter().all(|expert| state.held.contains(&(layer, *expert)))
        })
    }

    /// Returns a map that the rank has received.
    pub fn map(&self, id: MapId) -> Option<Vec<LayerMap>> {
        self.lock().maps.get(&id).cloned()
    }

    /// Returns the number of orders that were carried out despite an old fencing token.
    pub fn stale_orders(&self) -> u64 {
        self.lock().stale_orders
    }

    /// Returns the number of experts that were fetched.
    pub fn fetches(&self) -> u64 {
        self.lock().fetches
    }

    async fn prefetch(&self, order: PrefetchOrder) -> bool {
        let missing = {
            let mut state = self.lock();
            if order.fence < state.fence {
                if self.check_fences {
                    return false;
                }
                state.stale_orders += 1;
            }
            state.fence = state.fence.max(order.fence);
            let needed = order.layers.iter().enumerate().flat_map(|(layer, map)| {
                map.held(self.rank).iter().map(move |expert| (layer, *expert))
            });
            needed.filter(|place| !state.held.contains(place)).collect::<Vec<_>>()
        };
        let count = u32::try_from(missing.len()).unwrap_or(u32::MAX);
        sleep(self.fetch_time * count).await;
        let mut state = self.lock();
        state.fetches += u64::from(count);
        state.held.extend(missing);
        state.maps.insert(order.id, order.layers);
        true
    }
}

impl Handler for RankEngine {
    type Body = WholeBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<WholeBody> {
        let body = collect(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let order = body.ok().and_then(|body| serde_json::from_slice(&body).ok());
        let Some(order) = order else {
            return text_answer(StatusCode::BAD_REQUEST, "bad order\n");
        };
        if self.prefetch(order).await {
            text_answer(StatusCode::OK, "ok\n")
        } else {
            text_answer(StatusCode::CONFLICT, "old fencing number\n")
        }
    }
}

impl Crashable for RankEngine {
    /// Clears the weights. The received maps, the fencing token and the counts are kept.
    fn clear_volatile_state(&self) {
        self.lock().held.clear();
    }
}

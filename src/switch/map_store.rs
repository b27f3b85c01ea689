use std::sync::Arc;

use bytes::Bytes;

use super::{LeaderError, MapId};
use crate::group::ExpertMap;
use crate::platform::ObjectStore;

/// Expert maps of one group in the platform's object store.
#[derive(Clone, Debug)]
pub struct MapStore<P> {
    platform: Arc<P>,
    service: String,
}

impl<P: ObjectStore> MapStore<P> {
    /// The maps of a service's group.
    pub fn new(platform: Arc<P>, service: &str) -> Self {
        Self { platform, service: service.to_owned() }
    }

    fn name(&self, id: MapId) -> String {
        format!("maps/{}/{id}", self.service)
    }

    /// Writes a map. A map is written once, before its ID is given to any rank.
    ///
    /// # Errors
    /// [`LeaderError::StoreDown`] if the store does not answer.
    pub async fn write(&self, id: MapId, map: &ExpertMap) -> Result<(), LeaderError> {
        let body = serde_json::to_vec(map).map_err(|_| LeaderError::StoreDown)?;
        let written = self.platform.write(&self.name(id), Bytes::from(body)).await;
        written.map_err(|_| LeaderError::StoreDown)
    }

    /// Reads a map, `None` if the store has no readable map with this ID.
    ///
    /// # Errors
    /// [`LeaderError::StoreDown`] if the store does not answer.
    pub async fn read(&self, id: MapId) -> Result<Option<ExpertMap>, LeaderError> {
        let read = self.platform.read(&self.name(id)).await;
        let body = read.map_err(|_| LeaderError::StoreDown)?;
        Ok(body.and_then(|body| serde_json::from_slice(&body).ok()))
    }
}

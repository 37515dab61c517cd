//! The weight store, which serves a few readers at a limited rate.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use platform::{Error, Load};
use tokio::sync::Semaphore;

/// A weight store.
#[derive(Clone)]
pub struct Weights {
    readers: Arc<Semaphore>,
    reading: Arc<AtomicU32>,
    read_time: Duration,
}

impl Weights {
    /// A store that lets `readers` read at once, each copy taking `time`.
    #[must_use]
    pub fn new(readers: usize, read_time: Duration) -> Self {
        Self {
            readers: Arc::new(Semaphore::new(readers)),
            reading: Arc::default(),
            read_time,
        }
    }

    /// Reads one copy of a model's weights.
    pub async fn read(&self) {
        let _permit = self.readers.acquire().await;
        self.reading.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(self.read_time).await;
        self.reading.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl platform::Weights for Weights {
    async fn load(&self) -> Result<Load, Error> {
        Ok(Load {
            reading: self.reading.load(Ordering::SeqCst),
            accepting: self.readers.available_permits() > 0,
        })
    }
}

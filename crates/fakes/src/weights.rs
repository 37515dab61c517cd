//! A fake weight store that serves a limited number of readers at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use provider::{Error, Load};
use tokio::sync::Semaphore;

/// A weight store. Clones share their readers.
#[derive(Clone)]
pub struct Weights {
    readers: Arc<Semaphore>,
    reading: Arc<AtomicU32>,
    read_time: Duration,
}

impl Weights {
    /// Creates a store that serves up to `readers` readers at once. Each read takes `read_time`.
    #[must_use]
    pub fn new(readers: usize, read_time: Duration) -> Self {
        Self {
            readers: Arc::new(Semaphore::new(readers)),
            reading: Arc::default(),
            read_time,
        }
    }

    /// Reads one copy of a model's weights, after waiting for a free reader slot.
    pub async fn read(&self) {
        let _permit = self.readers.acquire().await;
        self.reading.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(self.read_time).await;
        self.reading.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl provider::Weights for Weights {
    async fn current_load(&self) -> Result<Load, Error> {
        Ok(Load {
            reading: self.reading.load(Ordering::SeqCst),
            accepting: self.readers.available_permits() > 0,
        })
    }
}

//! Average response time of each service.

use std::{collections::HashMap, time::Duration};

use crate::flow::{ServiceName, average::Average};

/// Average time from the placement of a SYN until the client has the answer to its first request,
/// by service.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    by_service: HashMap<ServiceName, Average>,
}

impl ResponseTimes {
    /// Adds a response of a service.
    pub fn record(&mut self, service: &ServiceName, took: Duration) {
        match self.by_service.get_mut(service) {
            Some(average) => average.add(took),
            None => {
                let mut average = Average::default();
                average.add(took);
                self.by_service.insert(service.clone(), average);
            }
        }
    }

    /// The average response time of a service, `None` before its first response.
    pub fn get(&self, service: &str) -> Option<Duration> {
        self.by_service.get(service)?.get()
    }
}

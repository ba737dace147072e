use std::path::PathBuf;
use std::time::Duration;

use stairstall_core::placement::Capacity;

/// What a cluster is made of.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// The daemon's program.
    pub binary: PathBuf,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Daemons in each zone.
    pub daemons_per_zone: u16,
    /// Minions in each zone.
    pub minions_per_zone: u16,
    /// Slots of each minion.
    pub slots: u16,
    /// The service that minions answer for.
    pub service: String,
    /// Workers in each zone.
    pub workers_per_zone: u16,
    /// Workers in each rack.
    pub workers_per_rack: u16,
    /// What each worker has.
    pub capacity: Capacity,
    /// How many times as fast as they say tasks run.
    pub speed: u32,
    /// Lag of the VM list.
    pub vm_list_lag: Duration,
    /// Drain delay of the daemons.
    pub drain_delay: Duration,
    /// More flags for the daemons.
    pub flags: Vec<String>,
    /// Environment variables for the daemons.
    pub environment: Vec<(String, String)>,
}

impl ClusterPlan {
    /// Creates the plan of one small zone.
    #[must_use]
    pub fn small(binary: impl Into<PathBuf>) -> Self {
        Self {
            binary: binary.into(),
            zones: vec!["zone-a".to_owned()],
            daemons_per_zone: 2,
            minions_per_zone: 2,
            slots: 8,
            service: "triage".to_owned(),
            workers_per_zone: 4,
            workers_per_rack: 4,
            capacity: Capacity::new(8, 32, 128 * 1024),
            speed: 1,
            vm_list_lag: Duration::from_secs(5),
            drain_delay: Duration::from_millis(500),
            flags: Vec::new(),
            environment: Vec::new(),
        }
    }

    /// Sets the number of zones.
    #[must_use]
    pub fn with_zones(mut self, count: u8) -> Self {
        self.zones = (0..count)
            .map(|i| format!("zone-{}", char::from(b'a' + i)))
            .collect();
        self
    }

    /// Sets daemons, minions and workers of each zone.
    #[must_use]
    pub const fn with_sizes(mut self, daemons: u16, minions: u16, workers: u16) -> Self {
        self.daemons_per_zone = daemons;
        self.minions_per_zone = minions;
        self.workers_per_zone = workers;
        self
    }

    /// Sets how many times as fast as they say tasks run.
    #[must_use]
    pub const fn with_speed(mut self, speed: u32) -> Self {
        self.speed = speed;
        self
    }

    /// Returns the accelerators of one zone.
    #[must_use]
    pub fn accelerators_per_zone(&self) -> u32 {
        u32::from(self.workers_per_zone) * u32::from(self.capacity.accelerators)
    }
}

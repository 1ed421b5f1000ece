//! What the fleet can give each pool, so that its cell promises no more than it can keep.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use super::{
    Fleet,
    balance::WORKER_START_TIME,
    size::{self, PoolSize},
};
use crate::{ServiceId, Span, job::Outlook};

/// Returns the most VMs that each pool can have if `reserve` more are free: what it has, what it
/// gets in the order in which lacking pools are served, and what no pool asks for.
fn most_vms(sizes: &IndexMap<ServiceId, PoolSize>, reserve: u64) -> IndexMap<ServiceId, u64> {
    let mut most: IndexMap<ServiceId, u64> =
        sizes.iter().map(|(pool, size)| (pool.clone(), size.has)).collect();
    let mut unclaimed = reserve;
    for (pool, deficit) in size::pools_by_deficit(sizes) {
        let granted = deficit.min(unclaimed);
        unclaimed -= granted;
        most[&pool] += granted;
    }
    for count in most.values_mut() {
        *count += unclaimed;
    }
    // A pool's own surplus is part of the reserve, but adds nothing to what it has.
    for (pool, size) in sizes {
        most[pool] -= size.surplus().min(unclaimed);
    }
    most
}

impl Fleet {
    /// Computes what the pools can get, from their sizes.
    pub(super) fn update_outlooks(&mut self, sizes: &IndexMap<ServiceId, PoolSize>) {
        let surplus: u64 = sizes.values().map(PoolSize::surplus).sum();
        let deficit: u64 = sizes.values().map(PoolSize::deficit).sum();
        let standby = self.free_standby_vms().count() as u64;
        self.is_short_of_vms = deficit > standby;
        self.most_vms = most_vms(sizes, standby + surplus);
    }

    /// What the fleet can give a pool; `None` if its cell has not reported lately.
    #[must_use]
    pub fn outlook(&self, pool: &ServiceId) -> Option<Outlook> {
        let most = *self.most_vms.get(pool)?;
        let vm_cpu_milli = self.vm_cpu_milli(pool);
        Some(Outlook {
            coming_milli: self.vm_count(pool) * vm_cpu_milli,
            most_milli: most * vm_cpu_milli,
            lead: Span(self.cfg.move_duration.0 + WORKER_START_TIME.0),
        })
    }
}

//! The accepted declarations, versioned by generation.
//!
//! Each record carries the generation in which it last changed, so two nodes compare one number and
//! exchange only the records that changed since. Merging keeps the newer record of each service and
//! the newer generation. It is commutative, associative and idempotent and never lowers a
//! generation, so records may arrive from the store and from peers in any order.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    Generation, PoolId, ServiceId, Slots,
    declare::{Declaration, Problem},
};

/// One service's declaration, or a tombstone if it was withdrawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Generation in which the record last changed.
    pub generation: Generation,
    /// `None` once the service was withdrawn.
    pub declaration: Option<Arc<Declaration>>,
}

/// Records that changed after some generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Generation that a catalog reaches by merging the records.
    pub generation: Generation,
    /// Changed records with their services.
    pub records: Vec<(ServiceId, Record)>,
}

/// All accepted declarations at one generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    generation: Generation,
    records: IndexMap<ServiceId, Record>,
}

impl Catalog {
    /// The newest generation of which this catalog has every record.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The declaration of a service, unless it was withdrawn.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&Arc<Declaration>> {
        self.records.get(service)?.declaration.as_ref()
    }

    /// All declarations that are not withdrawn.
    pub fn declarations(&self) -> impl Iterator<Item = &Arc<Declaration>> {
        self.records.values().filter_map(|record| record.declaration.as_ref())
    }

    /// The records that changed after generation `since`.
    #[must_use]
    pub fn delta_since(&self, since: Generation) -> Delta {
        let newer = self.records.iter().filter(|(_, record)| record.generation > since);
        let records = newer.map(|(service, record)| (service.clone(), record.clone())).collect();
        Delta { generation: self.generation, records }
    }

    /// Merges records into the catalog and returns true if anything changed.
    ///
    /// `delta` must contain every record that changed after this catalog's generation, up to the
    /// generation of the delta.
    pub fn merge(&mut self, delta: Delta) -> bool {
        let mut changed = false;
        for (service, record) in delta.records {
            let known = self.records.get(&service).map(|known| known.generation);
            if known.is_none_or(|known| known < record.generation) {
                self.records.insert(service, record);
                changed = true;
            }
        }
        if delta.generation > self.generation {
            self.generation = delta.generation;
            changed = true;
        }
        changed
    }

    /// The changes from the accepted declarations to `declarations`, taken as the complete set.
    #[must_use]
    pub fn diff(&self, declarations: &[Declaration]) -> Vec<Change> {
        let mut changes = Vec::new();
        for declaration in declarations {
            match self.get(declaration.service.as_str()) {
                None => changes.push(Change::Added(declaration.clone())),
                Some(old) if **old != *declaration => {
                    changes.push(Change::Replaced(Arc::clone(old), declaration.clone()));
                }
                Some(_) => {}
            }
        }
        let kept = |old: &Declaration| declarations.iter().any(|new| new.service == old.service);
        for old in self.declarations().filter(|old| !kept(old)) {
            changes.push(Change::Withdrawn(old.service.clone()));
        }
        changes
    }
}

/// One difference between the accepted declarations and those to be published.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A new service.
    Added(Declaration),
    /// A service whose declaration changed: the old and the new one.
    Replaced(Arc<Declaration>, Declaration),
    /// A service that is no longer declared.
    Withdrawn(ServiceId),
}

impl Change {
    /// The service that changes.
    #[must_use]
    pub fn service(&self) -> &ServiceId {
        match self {
            Self::Added(declaration) | Self::Replaced(_, declaration) => &declaration.service,
            Self::Withdrawn(service) => service,
        }
    }
}

/// VMs, racks and slots of a pool according to the platform's list of VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCapacity {
    /// Number of VMs that are not leaving the pool.
    pub vms: u32,
    /// Number of racks with at least one of these VMs.
    pub racks: u32,
    /// Slots of these VMs together.
    pub slots: Slots,
}

impl PoolCapacity {
    /// Slots that remain while one VM of average size is in maintenance.
    fn slots_without_one_vm(&self) -> u32 {
        self.slots.0 - self.slots.0.div_ceil(self.vms.max(1))
    }
}

/// Checks declarations against each other and against the fleet, if the fleet is known.
///
/// Each declaration is paired with the name of the file that it was read from.
#[must_use]
pub fn check(
    declarations: &[(String, Declaration)],
    fleet: Option<&IndexMap<PoolId, PoolCapacity>>,
) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut seen: IndexMap<&ServiceId, &str> = IndexMap::new();
    for (file, declaration) in declarations {
        if let Some(other) = seen.insert(&declaration.service, file) {
            let message = format!("{} is declared by {other} as well", declaration.service);
            problems.push(Problem::new(file, "/service", message));
        }
    }
    let Some(fleet) = fleet else {
        return problems;
    };
    let mut declared_slots: IndexMap<&PoolId, u32> = IndexMap::new();
    for (file, declaration) in declarations {
        let Some(size) = fleet.get(&declaration.pool) else {
            let message = format!("the fleet has no pool {}", declaration.pool);
            problems.push(Problem::new(file, "/pool", message));
            continue;
        };
        let sum = declared_slots.entry(&declaration.pool).or_default();
        *sum = sum.saturating_add(declaration.capacity.normal.0);
        if *sum > size.slots.0 {
            let message = format!(
                "{} raises the normal capacity declared for pool {} to {sum} slots; it has {}",
                declaration.capacity.normal, declaration.pool, size.slots
            );
            problems.push(Problem::new(file, "/capacity/normal", message));
        } else if *sum > size.slots_without_one_vm() {
            let message = format!(
                "{} raises the normal capacity declared for pool {} to {sum} slots; with a VM in maintenance it has {}",
                declaration.capacity.normal,
                declaration.pool,
                size.slots_without_one_vm()
            );
            problems.push(Problem::new(file, "/capacity/normal", message));
        }
        if declaration.maintenance.max_vms >= size.vms {
            let message = format!(
                "{} would let maintenance stop the whole pool {} of {} VMs",
                declaration.maintenance.max_vms, declaration.pool, size.vms
            );
            problems.push(Problem::new(file, "/maintenance/max_vms", message));
        }
    }
    problems
}

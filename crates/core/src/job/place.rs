//! Which worker gets a task.
//!
//! Tasks go where the smallest part of a worker is booked, so that the loss of a rack takes few of
//! any job; the rack with a task's data comes first, since tasks elsewhere take a multiple of the
//! time.

use super::{JobId, Resources, Step, StepId, WorkerId};

/// One worker in this many at most is kept for large tasks.
const HELD_PART: usize = 4;

/// A worker that may get new work, with what is left of it.
#[derive(Clone, Debug)]
pub(super) struct Seat {
    pub(super) worker: WorkerId,
    pub(super) labels: Vec<String>,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// Tasks that serve users, and tasks that fill.
    pub(super) serving: u32,
    pub(super) filling: u32,
    /// It gets one task and no more.
    pub(super) on_probation: bool,
    /// Its room is kept for a task that is larger than what is free.
    pub(super) is_held: bool,
    /// The step that is being placed may not run there.
    pub(super) is_barred: bool,
}

impl Seat {
    pub(super) fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }

    /// Notes that a task of the step goes here.
    pub(super) fn book(&mut self, step: &Step) {
        self.free -= step.booked();
        if self.on_probation {
            self.free = Resources::default();
        }
        self.serving += u32::from(step.tail_target.is_some());
        self.filling += u32::from(step.fills);
    }

    /// The share of the worker that is booked, in thousandths, of whatever is scarcest.
    fn booked_share(&self) -> u64 {
        let share = |free: u64, all: u64| (all - free.min(all)) * 1_000 / all.max(1);
        share(self.free.cpu_milli, self.capacity.cpu_milli)
            .max(share(self.free.memory_mb, self.capacity.memory_mb))
    }
}

/// What a step asks of a worker beside room.
pub(super) fn is_allowed(seat: &Seat, step: &Step, count_there: u32) -> bool {
    !seat.is_held
        && !seat.is_barred
        && step.booked().fits(&seat.free)
        && step.label.as_ref().is_none_or(|label| seat.labels.contains(label))
        && step.max_per_worker.is_none_or(|most| count_there < most)
}

/// The best worker for one task of the step; `count` tells how many of the step a worker has.
pub(super) fn choose(
    seats: &[Seat],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
) -> Option<usize> {
    let allowed = |seat: &Seat| is_allowed(seat, step, count(&seat.worker, id));
    let cost = |seat: &Seat| {
        let near = step.data_rack.as_deref().is_none_or(|rack| seat.rack() == Some(rack));
        // Tasks that fill disturb those that serve.
        let disturbs = if step.fills { seat.serving } else { 0 }
            + if step.tail_target.is_some() { seat.filling } else { 0 };
        (!near, disturbs, count(&seat.worker, id), seat.booked_share())
    };
    seats
        .iter()
        .enumerate()
        .filter(|(_, seat)| allowed(seat))
        .min_by_key(|(_, seat)| cost(seat))
        .map(|(place, _)| place)
}

/// Keeps the worker with the most free room from the steps that come after this one, none of whose
/// tasks found room: else small tasks would take whatever becomes free, and large ones would wait for
/// the end of the overload.
pub(super) fn hold_room(
    seats: &mut [Seat],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
) {
    let held = seats.iter().filter(|seat| seat.is_held).count();
    if held * HELD_PART >= seats.len() {
        return;
    }
    let empty = |seat: &Seat| Seat { free: seat.capacity, ..seat.clone() };
    let could_run = |seat: &&mut Seat| is_allowed(&empty(seat), step, count(&seat.worker, id));
    let roomiest = seats.iter_mut().filter(could_run).max_by_key(|seat| seat.free.cpu_milli);
    if let Some(seat) = roomiest {
        seat.is_held = true;
    }
}

/// How many workers of one size it takes to hold all tasks of these steps, placed one after the other
/// where they first fit.
pub(super) fn workers_to_hold(capacity: Resources, steps: &[(JobId, &Step)]) -> u32 {
    let mut workers: Vec<Resources> = Vec::new();
    for (_, step) in steps {
        let mut counts: Vec<u32> = vec![0; workers.len()];
        for _ in 0..step.count {
            let most = step.max_per_worker.unwrap_or(u32::MAX);
            let fits =
                |place: &usize| counts[*place] < most && step.booked().fits(&workers[*place]);
            let place = (0..workers.len()).find(fits).unwrap_or_else(|| {
                workers.push(capacity);
                counts.push(0);
                workers.len() - 1
            });
            workers[place] -= step.booked();
            counts[place] += 1;
        }
    }
    u32::try_from(workers.len()).unwrap_or(u32::MAX)
}

/// Workers for all tasks of a gang, on one rack if the step asks for it; `None` if they don't fit.
pub(super) fn choose_gang(
    seats: &[Seat],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
) -> Option<Vec<usize>> {
    let mut racks: Vec<Option<&str>> = seats.iter().map(Seat::rack).collect();
    racks.sort_unstable();
    racks.dedup();
    let near = step.data_rack.as_deref();
    racks.sort_by_key(|&rack| near.is_some() && rack != near);
    let on_rack = racks.iter().find_map(|&rack| fill(seats, step, id, &count, Among::Rack(rack)));
    if on_rack.is_some() || step.same_rack {
        return on_rack;
    }
    fill(seats, step, id, &count, Among::All)
}

/// Which seats a gang may take.
#[derive(Clone, Copy)]
enum Among<'a> {
    Rack(Option<&'a str>),
    All,
}

/// Places all tasks of a gang.
fn fill(
    seats: &[Seat],
    step: &Step,
    id: StepId,
    count: &impl Fn(&WorkerId, StepId) -> u32,
    among: Among<'_>,
) -> Option<Vec<usize>> {
    let mut left: Vec<Seat> = seats.to_vec();
    let mut placed: Vec<usize> = Vec::new();
    for _ in 0..step.count {
        let there = |place: usize| {
            let placed = placed.iter().filter(|&&one| one == place).count();
            count(&seats[place].worker, id) + u32::try_from(placed).unwrap_or(u32::MAX)
        };
        let place = (0..left.len())
            .filter(|&place| match among {
                Among::Rack(rack) => left[place].rack() == rack,
                Among::All => true,
            })
            .filter(|&place| is_allowed(&left[place], step, there(place)))
            .min_by_key(|&place| left[place].booked_share())?;
        left[place].book(step);
        placed.push(place);
    }
    Some(placed)
}

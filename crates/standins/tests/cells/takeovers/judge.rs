//! The longest time that a task may be without a run, by the workers and by who could have known what. What owners
//! think counts only as far as they have written it into their own log lines.

use std::collections::{BTreeMap, BTreeSet};

use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{EndKind, JobId, JobState, LogEvent, TaskId, WorkerId},
};
use teaselgap_standins::model::{Model, OWNER_TTL, cell_config};

use super::{LONGEST_LEASE_MS, history::End};
use crate::fixtures::state;

/// From the claim, or the return of a worker, until the owner has its list: one read of the list of workers, an
/// answer, and the stops of earlier owners.
const ADOPTION: Span = Span(1_500);

/// From the claim until the nodes of ended terms have answered.
const QUESTION: Span = Span(300);

/// From the last thing that is waited for until the task runs.
const PLAN: Span = Span(500);

/// For how long an owner renews leases during its handover, and what it adds for the resolution of clocks.
const HANDOVER_RENEWALS: Span = Span(1_550);

/// The longest time from an order until its owner has its outcome, with that of its second copy.
const UNDER_WAY: Span = Span(1_000);

/// The longest time after which the owner counts on an unanswered order.
const ORDER_LIFETIME: Span = Span(15_000);

/// The time with a store that answers in which an owner has certainly written whom it waits for.
const WRITTEN: Span = Span(500);

/// A point in time that no history reaches.
const NEVER: Timestamp = Timestamp(u64::MAX);

/// By a worker's slow clock, the lease that an owner asks for.
fn order_life() -> Span {
    Span(cell_config().lease.0 * 103 / 100)
}

/// The same of the longest lease that a worker grants.
fn longest_lease() -> Span {
    Span(LONGEST_LEASE_MS * 103 / 100)
}

/// A term of an owner.
#[derive(Debug)]
struct Term {
    epoch: Epoch,
    claimed: Timestamp,
    /// When and how it ended.
    ended: Option<(Timestamp, End)>,
    /// Until when its node can be asked.
    node_lives_until: Timestamp,
    /// The workers that it has adopted, or ordered to start a task, each with when it did so first.
    heard: BTreeMap<WorkerId, Timestamp>,
    /// For how long the store has answered it.
    heard_by_store: Span,
}

impl Term {
    fn new(epoch: Epoch, claimed: Timestamp) -> Self {
        Self {
            epoch,
            claimed,
            ended: None,
            node_lives_until: NEVER,
            heard: BTreeMap::new(),
            heard_by_store: Span(0),
        }
    }

    fn is_handed_over(&self) -> bool {
        matches!(self.ended, Some((_, End::HandsOver)))
    }

    fn describe(&self) -> String {
        let Self { epoch, claimed, node_lives_until, .. } = self;
        let end = self
            .ended
            .map_or_else(|| "present".to_owned(), |(at, end)| format!("ended {at} {end:?}"));
        let is_alive = *node_lives_until == NEVER;
        format!("term {epoch} claimed {claimed} {end}, node alive: {is_alive}")
    }
}

/// When nobody reaches a worker.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Timestamp,
    until: Timestamp,
}

/// Judges how long the tasks of a model are without a run.
#[derive(Debug)]
pub(crate) struct Judge {
    terms: Vec<Term>,
    absences: BTreeMap<WorkerId, Absence>,
    /// When an order was given last at each worker.
    ordered_at: BTreeMap<WorkerId, Timestamp>,
    /// Until when each task may run by an order without an outcome.
    open_of: BTreeMap<TaskId, Timestamp>,
    /// Until when anything may run on each worker by such an order.
    open_at: BTreeMap<WorkerId, Timestamp>,
    /// The workers at which each task has run last, and was ordered since.
    places: BTreeMap<TaskId, BTreeSet<WorkerId>>,
    latest_orders: BTreeMap<TaskId, Timestamp>,
    idle_since: BTreeMap<TaskId, Timestamp>,
    done: BTreeSet<TaskId>,
    /// Tasks that pause because they have lost several workers.
    paused: BTreeSet<TaskId>,
    events_seen: usize,
    /// When the store answered again.
    store_back: Timestamp,
    seen: Timestamp,
    late: Vec<String>,
}

impl Judge {
    pub(crate) fn new(epoch: Epoch, claimed: Timestamp) -> Self {
        Self {
            terms: vec![Term::new(epoch, claimed)],
            absences: BTreeMap::new(),
            ordered_at: BTreeMap::new(),
            open_of: BTreeMap::new(),
            open_at: BTreeMap::new(),
            places: BTreeMap::new(),
            latest_orders: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            done: BTreeSet::new(),
            paused: BTreeSet::new(),
            events_seen: 0,
            store_back: Timestamp(0),
            seen: claimed,
            late: Vec::new(),
        }
    }

    /// The waits beyond their bounds.
    pub(crate) fn late(&self) -> &[String] {
        &self.late
    }

    /// Notes that nobody reaches a worker from `since` until `until`.
    pub(crate) fn note_absence(&mut self, worker: &str, since: Timestamp, until: Timestamp) {
        let absence = self.absences.entry(worker.into()).or_insert(Absence { since, until });
        if absence.until < since {
            absence.since = since;
        }
        absence.until = absence.until.max(until);
    }

    /// Notes that the present term ends. Its orders under way have no outcome.
    pub(crate) fn note_end(&mut self, now: Timestamp, end: End) {
        let is_under_way = |at: &Timestamp| now.since(*at) <= UNDER_WAY;
        let open = now + ORDER_LIFETIME + longest_lease();
        let tasks = self.latest_orders.iter().filter(|(_, at)| is_under_way(at));
        self.open_of.extend(tasks.map(|(task, _)| (*task, open)));
        if let Some(term) = self.terms.last_mut() {
            term.ended = Some((now, end));
            let lives = matches!(end, End::LostLease | End::ClaimsAgain | End::DiesLater(_));
            term.node_lives_until = if lives { NEVER } else { now };
        }
    }

    /// Notes that the nodes of all ended terms die.
    pub(crate) fn note_deaths(&mut self, now: Timestamp) {
        for term in self.terms.iter_mut().filter(|term| term.ended.is_some()) {
            term.node_lives_until = term.node_lives_until.min(now);
        }
    }

    /// Notes that an owner claims the cell. It counts what is left of open orders from its reading.
    pub(crate) fn note_claim(&mut self, epoch: Epoch, now: Timestamp) {
        let ended = self.terms.last().and_then(|term| term.ended).map_or(now, |(at, _)| at);
        for until in self.open_of.values_mut().chain(self.open_at.values_mut()) {
            if *until > ended {
                *until = *until + now.since(ended);
            }
        }
        self.terms.push(Term::new(epoch, now));
    }

    pub(crate) fn note_store_back(&mut self, now: Timestamp) {
        self.store_back = now;
    }

    fn note_events(&mut self, model: &Model) {
        let now = model.now();
        for event in &model.log_events()[self.events_seen..] {
            match event {
                LogEvent::StartOpen { run, left, .. } => {
                    let until = now + *left + longest_lease();
                    let places = self.places.get(&run.task).cloned().unwrap_or_default();
                    for worker in places {
                        let open = self.open_at.entry(worker).or_default();
                        *open = until.max(*open);
                    }
                    let open = self.open_of.entry(run.task).or_default();
                    *open = until.max(*open);
                }
                LogEvent::Placed { step, tasks, .. } => {
                    for placed in tasks {
                        let task = TaskId {
                            job: step.job,
                            occurrence: step.occurrence,
                            step: step.step,
                            index: placed.index,
                        };
                        self.latest_orders.insert(task, now);
                        self.ordered_at.insert(placed.worker.clone(), now);
                        self.places.entry(task).or_default().insert(placed.worker.clone());
                        self.note_heard(&placed.worker, now);
                    }
                }
                LogEvent::Worker { worker, change: "adopted" | "answers again", .. } => {
                    self.note_heard(worker, now);
                }
                LogEvent::TaskPaused { task, .. } => {
                    self.paused.insert(*task);
                }
                LogEvent::Ended { run, how: EndKind::Done, .. } => {
                    self.done.insert(run.task);
                }
                _ => {}
            }
        }
        self.events_seen = model.log_events().len();
    }

    fn note_heard(&mut self, worker: &WorkerId, now: Timestamp) {
        if let Some(term) = self.terms.last_mut() {
            term.heard.entry(worker.clone()).or_insert(now);
        }
    }

    /// Notes what has happened since the last call, and which of these tasks have no run for too long.
    pub(crate) fn judge(
        &mut self,
        model: &Model,
        is_store_available: bool,
        (lasting, tasks): (JobId, impl IntoIterator<Item = TaskId>),
    ) {
        let now = model.now();
        let passed = now.since(self.seen);
        self.seen = now;
        self.note_events(model);
        if let Some(term) =
            self.terms.last_mut().filter(|term| term.ended.is_none() && is_store_available)
        {
            term.heard_by_store = Span(term.heard_by_store.0 + passed.0);
        }
        for task in tasks {
            self.check(task, model, is_store_available, task.job == lasting);
        }
    }

    fn check(&mut self, task: TaskId, model: &Model, is_store_available: bool, is_lasting: bool) {
        let now = model.now();
        let at = model.workers().find(|worker| worker.is_running(task));
        if let Some(worker) = at {
            self.places.insert(task, BTreeSet::from([worker.entry.id.clone()]));
        }
        let is_over = matches!(state(model, task.job), None | Some(JobState::Ended(_)));
        let is_over = is_over && model.cell().is_some() || self.done.contains(&task);
        if at.is_some() || is_over {
            self.idle_since.remove(&task);
            return;
        }
        let since = *self.idle_since.entry(task).or_insert(now);
        if model.cell().is_none() || !is_store_available || self.paused.contains(&task) {
            return;
        }
        let (free, why) = self.free_at(task, is_lasting, now);
        let begin = since.max(self.claimed() + ADOPTION).max(self.store_back + ADOPTION);
        let open = self.open_of.get(&task).copied().unwrap_or_default();
        let latest = begin.max(free).max(open) + QUESTION + PLAN;
        if now > latest {
            let terms: Vec<String> = self.terms.iter().map(Term::describe).collect();
            let terms = terms.join("; ");
            self.late.push(format!(
                "{now} {task} has no run since {since}, bound {latest}: {why}; {terms}"
            ));
            self.idle_since.insert(task, NEVER);
        }
    }

    fn claimed(&self) -> Timestamp {
        self.terms.last().map_or(Timestamp(0), |term| term.claimed)
    }

    /// When nothing can run any more on the workers that hold a task back: for one that lasts those where it has
    /// run last or was ordered since, for another one all workers that owners have used.
    fn free_at(&self, task: TaskId, is_lasting: bool, now: Timestamp) -> (Timestamp, String) {
        let used = || self.terms.iter().flat_map(|term| term.heard.keys());
        let places = self.places.get(&task).into_iter().flatten();
        let workers: BTreeSet<&WorkerId> =
            if is_lasting { places.collect() } else { used().chain(places).collect() };
        let bounds = workers.into_iter().map(|worker| self.worker_free_at(worker, now));
        bounds.max().unwrap_or_else(|| (Timestamp(0), "no worker".to_owned()))
    }

    fn worker_free_at(&self, id: &WorkerId, now: Timestamp) -> (Timestamp, String) {
        let absence = self.absences.get(id);
        let Some(absent) = absence.filter(|absence| now < absence.until) else {
            let back = absence.map_or(Timestamp(0), |absence| absence.until);
            return (back.max(self.claimed()) + ADOPTION, format!("{id} is reached"));
        };
        let open = self.open_at.get(id).copied().unwrap_or_default();
        let (until, why) = self.known_until(id, self.terms.len(), absent);
        (until.max(open), why)
    }

    /// Until when anything may run on a worker by what the last term before this position knows that has heard it. A
    /// term that has heard it for a moment only knows of its own orders, and what earlier ones know counts, too.
    fn known_until(&self, id: &WorkerId, before: usize, absent: &Absence) -> (Timestamp, String) {
        let has_heard = |term: &Term| term.heard.contains_key(id);
        let Some(position) = self.terms[..before].iter().rposition(has_heard) else {
            return (self.unknown_until(0), format!("no term has heard {id}"));
        };
        let term = &self.terms[position];
        let asked = self.claimed() + QUESTION;
        let is_known =
            term.ended.is_none() || term.is_handed_over() || term.node_lives_until >= asked;
        if !is_known {
            let why = format!("the node of term {} is dead, which heard {id} last", term.epoch);
            return (self.unknown_until(position), why);
        }
        let ended = term.ended.map_or(NEVER, |(at, _)| at);
        // The first moment after which no order and no renewal of the term can have reached the worker.
        let touched = absent.since.min(ended);
        let ordered = self.ordered_at.get(id).copied().unwrap_or_default() + UNDER_WAY;
        let renewals = if term.is_handed_over() { HANDOVER_RENEWALS } else { Span(0) };
        let mut own = touched + renewals + order_life();
        if ordered >= touched {
            own = own.max(ordered.min(ended) + longest_lease());
        }
        let own = own.max(self.earlier_until(position)).max(self.mute_until(position));
        let why = format!("term {} knows when {id} ends its runs", term.epoch);
        if position > 0 && touched < term.heard[id] + ADOPTION {
            return self.known_until(id, position, absent).max((own, why));
        }
        (own, why)
    }

    /// Until when anything may run by orders of the term at this position, of which nobody knows: the next term that
    /// has written whom it waits for counts from its own claim, and so do later ones.
    fn unknown_until(&self, position: usize) -> Timestamp {
        let mut later = self.terms[position + 1..].iter();
        let first = later.find(|term| term.ended.is_none() || term.heard_by_store >= WRITTEN);
        let claimed = first.map_or(self.claimed(), |term| term.claimed);
        claimed + OWNER_TTL + longest_lease()
    }

    /// Until when anything may run on a worker that answers the term at this position by orders of terms before it
    /// whose nodes could not be asked.
    fn earlier_until(&self, position: usize) -> Timestamp {
        let pairs = self.terms[..=position].windows(2);
        let unasked = pairs.filter(|pair| {
            let asked = pair[1].claimed + QUESTION;
            !pair[0].is_handed_over() && pair[0].node_lives_until < asked
        });
        let ends = unasked.map(|pair| pair[1].claimed + OWNER_TTL + order_life());
        ends.max().unwrap_or_default()
    }

    /// The same by orders of terms after that position that had no time to write, and can't be asked.
    fn mute_until(&self, position: usize) -> Timestamp {
        let asked = self.claimed() + QUESTION;
        let is_mute = |term: &Term| {
            term.ended.is_some() && term.heard_by_store < WRITTEN && term.node_lives_until < asked
        };
        let last =
            (position + 1..self.terms.len()).rev().find(|&later| is_mute(&self.terms[later]));
        last.map_or(Timestamp(0), |later| self.unknown_until(later))
    }
}

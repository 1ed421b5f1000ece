//! Planning: which tasks start on which workers, and at what pace best-effort tasks run.

mod chosen;
mod room;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use indexmap::IndexMap;

use self::{chosen::ChosenTasks, room::Room};
use super::{
    super::{
        Action, JobId, LogEvent, PlacedTask, Resources, Step, StepId, TaskId, WorkerId,
        order::{self, Rank, RankClass, RankContext},
        place::{self, PlacementCandidate},
        task::{Job, Task},
        worker::Worker,
    },
    Cell,
    placement::{awaits_worker, is_logged},
    start_scope::StartScope,
    work::PlanWork,
};
use crate::{Span, Timestamp};

/// A step of an occurrence that waits to start.
pub(super) struct WaitingStep {
    pub(super) job: JobId,
    occurrence_index: usize,
    step_index: usize,
    startable_tasks: usize,
    /// Which of the step's tasks are meant.
    chosen: ChosenTasks,
}

impl WaitingStep {
    pub(super) fn step_id(&self, job: &Job) -> StepId {
        StepId {
            job: self.job,
            occurrence: job.occurrences[self.occurrence_index].number,
            step: u32::try_from(self.step_index).unwrap_or(u32::MAX),
        }
    }
}

/// The steps of open jobs that wait to start.
#[derive(Default)]
struct WaitingSteps {
    /// Steps with tasks that can start now.
    ready: Vec<WaitingStep>,
    /// The least of each resource that a task of a ready step books; `None` if no step is ready.
    smallest_need: Option<Resources>,
    /// Steps of queues with advice that can start once running tasks are done; advice is requested
    /// ahead for them.
    upcoming: Vec<WaitingStep>,
}

impl WaitingSteps {
    fn note_need(&mut self, need: &Resources) {
        self.smallest_need = Some(self.smallest_need.map_or(*need, |least| least.min(need)));
    }
}

impl Cell {
    /// Requests advice and starts waiting tasks, by rank, on workers with free capacity.
    pub(super) fn plan(&mut self, now: Timestamp) {
        self.plan_due = false;
        self.held_back_starts = 0;
        self.plan_work = PlanWork::default();
        let mut candidates = self.placement_candidates(now);
        if candidates.is_empty() {
            return;
        }
        let WaitingSteps { ready, smallest_need, upcoming } = self.waiting_steps(now);
        let mut room = Room::of(&candidates);
        let may_any_fit = |room: &Room| smallest_need.is_some_and(|need| room.may_fit(&need));
        // The order of steps matters only if one may start or advice may be requested for one.
        if !may_any_fit(&room) && !self.has_advice() {
            return;
        }
        let ready = self.sort_by_rank(ready, now);
        self.ask_advice(ready.iter().map(|(_, waiting_step)| waiting_step), &candidates, now);
        self.ask_advice(upcoming.iter(), &candidates, now);
        for (rank, waiting_step) in ready {
            if !may_any_fit(&room)
                || candidates.iter().all(|candidate| candidate.free.memory_mb == 0)
            {
                break;
            }
            if !self.start_window.has_room() {
                self.held_back_starts += waiting_step.startable_tasks;
                continue;
            }
            self.plan_work.steps += 1;
            if self.pass_over((rank.class, &waiting_step), &mut candidates, &mut room, now) {
                continue;
            }
            self.plan_work.searches += 1;
            self.start_step((rank.class, &waiting_step), &mut candidates, now);
            room = Room::of(&candidates);
        }
    }

    /// Ranks steps and returns them in the order in which they are to start.
    fn sort_by_rank(&self, steps: Vec<WaitingStep>, now: Timestamp) -> Vec<(Rank, WaitingStep)> {
        let wall_offset_ms = self.wall_offset_ms;
        let rank = |waiting_step: &WaitingStep| {
            let job = self.jobs.get(&waiting_step.job)?;
            let queue = self.queues.get(&job.queue)?;
            let expected = self.expected_times.get(&job.queue);
            let context = RankContext { queue, expected, now, wall_offset_ms };
            let rank = order::rank(job, waiting_step.occurrence_index, &context);
            Some(match waiting_step.chosen {
                ChosenTasks::Interrupted => rank.of_interrupted(),
                ChosenTasks::All => rank,
            })
        };
        let mut ranked: Vec<(Rank, WaitingStep)> = steps
            .into_iter()
            .filter_map(|waiting_step| Some((rank(&waiting_step)?, waiting_step)))
            .collect();
        ranked.sort_by_key(|(rank, waiting_step)| (*rank, waiting_step.job));
        ranked
    }

    pub(super) fn placement_candidates(&self, now: Timestamp) -> Vec<PlacementCandidate> {
        let is_usable = |(_, worker): &(&WorkerId, &Worker)| Self::is_usable(worker, now);
        let workers_of_suspects = self.workers_of_suspects();
        self.workers
            .iter()
            .filter(is_usable)
            .filter(|(_, worker)| !self.is_tried_on(worker, now))
            .map(|(id, worker)| (id, worker, worker.totals()))
            .map(|(id, worker, totals)| PlacementCandidate {
                worker: id.clone(),
                labels: worker.known_labels(),
                capacity: worker.entry.capacity,
                free: worker.entry.capacity.saturating_sub(&totals.booked),
                latency_sensitive_runs: totals.latency_sensitive,
                best_effort_runs: totals.best_effort,
                on_probation: worker.on_probation,
                run_count: u32::try_from(worker.runs.len()).unwrap_or(u32::MAX),
                hosts_suspect: workers_of_suspects.contains(id),
                start_room: self.start_window.room_at(id),
                is_reserved: false,
                is_disallowed: false,
            })
            .collect()
    }

    fn is_startable(
        task: &Task,
        inherited: &IndexMap<WorkerId, Timestamp>,
        are_trials_used_up: bool,
        now: Timestamp,
    ) -> bool {
        !task.is_done
            && task.run_workers.is_empty()
            && now >= task.not_before.max(task.paused_until)
            && !(are_trials_used_up && task.crashes_workers())
            && !awaits_worker(task, inherited)
    }

    /// Collects the waiting steps; plans again at the next tick if a delay, or that others are tried,
    /// holds a step back.
    fn waiting_steps(&mut self, now: Timestamp) -> WaitingSteps {
        let are_trials_used_up = self.are_trials_used_up(now);
        let inherited = &self.inherited_workers;
        let mut waiting = WaitingSteps::default();
        for (id, job) in self.jobs.open() {
            self.plan_work.jobs += 1;
            if !job.is_durable {
                continue;
            }
            let queue = self.queues.get(&job.queue).filter(|queue| queue.service == self.service);
            let Some(queue) = queue else {
                continue;
            };
            for (index, occurrence) in job.occurrences.iter().enumerate() {
                if occurrence.is_done() {
                    continue;
                }
                for (step_index, state) in occurrence.steps.iter().enumerate() {
                    let is_held = job.is_inherited && !is_logged(&job.spec.steps[step_index]);
                    if state.open_tasks == 0 || is_held {
                        continue;
                    }
                    if !occurrence.is_ready(&job.spec, step_index) {
                        if queue.advice.is_some() && occurrence.is_upcoming(&job.spec, step_index) {
                            let waiting_step = WaitingStep {
                                job: id,
                                occurrence_index: index,
                                step_index,
                                startable_tasks: 0,
                                chosen: ChosenTasks::All,
                            };
                            waiting.upcoming.push(waiting_step);
                        }
                        continue;
                    }
                    // Tasks that wait for an inherited worker are planned when it is released.
                    let is_waiting = |task: &&Task| {
                        !task.is_done
                            && task.run_workers.is_empty()
                            && !awaits_worker(task, inherited)
                    };
                    if !state.tasks.iter().any(|task| is_waiting(&task)) {
                        continue;
                    }
                    let is_startable =
                        |task: &&Task| Self::is_startable(task, inherited, are_trials_used_up, now);
                    let startable_tasks = state.tasks.iter().filter(is_startable).count();
                    if startable_tasks == 0 {
                        // Every waiting task of the step is delayed: plan again at the next tick.
                        self.plan_due = true;
                        continue;
                    }
                    let step = &job.spec.steps[step_index];
                    waiting.note_need(&step.booked());
                    let is_interrupted =
                        |task: &&Task| is_startable(task) && chosen::is_interrupted(task);
                    let interrupted_tasks = state.tasks.iter().filter(is_interrupted).count();
                    for (chosen, startable_tasks) in
                        ChosenTasks::split(step, startable_tasks, interrupted_tasks)
                    {
                        waiting.ready.push(WaitingStep {
                            job: id,
                            occurrence_index: index,
                            step_index,
                            startable_tasks,
                            chosen,
                        });
                    }
                }
            }
        }
        waiting
    }

    /// Places the tasks of a step for which a worker has room, and logs where those are for which an
    /// order is sent at once.
    fn start_step(
        &mut self,
        (class, waiting_step): (RankClass, &WaitingStep),
        candidates: &mut [PlacementCandidate],
        now: Timestamp,
    ) {
        let Some(job) = self.jobs.get(&waiting_step.job) else {
            return;
        };
        let step = waiting_step.step_id(job);
        let placed = self.start_step_tasks((class, waiting_step), candidates, now);
        self.log_placed(step, placed, now);
    }

    /// Logs to which workers start orders for tasks of a step were sent.
    pub(super) fn log_placed(&mut self, step: StepId, tasks: Vec<PlacedTask>, now: Timestamp) {
        let Some(job) = self.jobs.get(&step.job).filter(|_| !tasks.is_empty()) else {
            return;
        };
        let waited = now.since(job.arrived);
        self.actions.push(Action::Log(LogEvent::Placed { step, tasks, waited }));
    }

    fn start_step_tasks(
        &mut self,
        (class, waiting_step): (RankClass, &WaitingStep),
        candidates: &mut [PlacementCandidate],
        now: Timestamp,
    ) -> Vec<PlacedTask> {
        let mut placed = Vec::new();
        let Some(job) = self.jobs.get(&waiting_step.job) else {
            return placed;
        };
        let spec = Arc::clone(&job.spec);
        let step = &spec.steps[waiting_step.step_index];
        let occurrence = &job.occurrences[waiting_step.occurrence_index];
        let id = waiting_step.step_id(job);
        let tasks = &occurrence.steps[waiting_step.step_index].tasks;
        self.disallow_without_ticket(id, candidates, now);
        let are_trials_used_up = self.are_trials_used_up(now);
        let inherited = &self.inherited_workers;
        let is_startable =
            |task: &Task| Self::is_startable(task, inherited, are_trials_used_up, now);
        if step.gang {
            if tasks.iter().all(is_startable) {
                let attempt = tasks.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
                placed = self.start_gang(step, id, attempt, candidates, now);
            }
            return placed;
        }
        let ready: Vec<(u32, u32)> = (0..)
            .zip(tasks)
            .filter(|(_, task)| is_startable(task) && waiting_step.chosen.contains(task))
            .map(|(index, task)| (index, task.attempt + 1))
            .collect();
        for (started, (index, attempt)) in ready.iter().copied().enumerate() {
            if !self.start_window.has_room() {
                self.held_back_starts += ready.len() - started;
                return placed;
            }
            if self.awaits_trial(id.task(index), now) {
                self.plan_due = true;
                continue;
            }
            let workers = &self.workers;
            let count = |worker: &WorkerId, id| count_step_runs(workers, worker, id);
            let in_place = match self.start_scope(id.task(index), now) {
                StartScope::Anywhere => self.candidate_in_place(id.task(index), step, candidates),
                scope => {
                    let in_scope = scope.candidate((id, step), candidates, count);
                    if in_scope.is_none() {
                        self.plan_due = true;
                        continue;
                    }
                    in_scope
                }
            };
            if in_place.is_some_and(|chosen| candidates[chosen].start_room == 0) {
                self.held_back_starts += 1;
                continue;
            }
            let is_suspected = self.is_suspected(id.task(index));
            let choose = || place::choose_candidate(candidates, step, (id, is_suspected), count);
            let Some(chosen) = in_place.or_else(choose) else {
                if place::waits_for_answers(candidates, step, id, count) {
                    self.held_back_starts += ready.len() - started;
                } else if class <= RankClass::OnTime {
                    place::reserve_candidate(candidates, step, id, count);
                }
                return placed;
            };
            let candidate = &mut candidates[chosen];
            if is_suspected
                && self.is_on_trial(id.task(index))
                && !self.answers_now(&candidate.worker, now)
            {
                self.plan_due = true;
                continue;
            }
            placed.extend(self.reserve_and_start(candidate, step, id.task(index), attempt, now));
        }
        placed
    }

    fn start_gang(
        &mut self,
        step: &Step,
        id: StepId,
        attempt: u32,
        candidates: &mut [PlacementCandidate],
        now: Timestamp,
    ) -> Vec<PlacedTask> {
        let workers = &self.workers;
        let count = |worker: &WorkerId, id| count_step_runs(workers, worker, id);
        let scopes: Vec<StartScope<'_>> =
            (0..step.count).map(|index| self.start_scope(id.task(index), now)).collect();
        let allows = |index: u32, worker: &WorkerId| scopes[index as usize].allows(worker);
        let gang_candidates = place::choose_gang(candidates, step, id, count, allows);
        let is_bound = scopes.iter().any(|scope| *scope != StartScope::Anywhere);
        // Time alone releases it.
        self.plan_due |= is_bound && gang_candidates.is_none();
        let mut placed = Vec::new();
        for (index, chosen) in (0..).zip(gang_candidates.into_iter().flatten()) {
            let candidate = &mut candidates[chosen];
            placed.extend(self.reserve_and_start(candidate, step, id.task(index), attempt, now));
        }
        placed
    }

    fn reserve_and_start(
        &mut self,
        candidate: &mut PlacementCandidate,
        step: &Step,
        task: TaskId,
        attempt: u32,
        now: Timestamp,
    ) -> Option<PlacedTask> {
        candidate.reserve(step);
        candidate.hosts_suspect |= self.is_suspected(task);
        if self.is_on_trial(task) {
            candidate.free = Resources::default();
        }
        let placed = self.place_task(&candidate.worker, task, attempt, now)?;
        candidate.start_room = candidate.start_room.saturating_sub(1);
        Some(placed)
    }

    /// Sends workers the pace of their best-effort tasks where it changed.
    pub(super) fn pace(&mut self, now: Timestamp) {
        let workers = &mut self.workers;
        self.pace_table.retain(|id| workers.contains_key(id));
        for (id, worker) in workers {
            if !worker.is_adopted || !worker.runs.values().any(|run| run.is_best_effort) {
                continue;
            }
            let share = self.pace_table.share(id, now);
            for (task, run) in &mut worker.runs {
                let is_running = run.state == super::super::worker::RunState::Running;
                if run.is_best_effort
                    && is_running
                    && run.confirmed_pace != Some(share)
                    && !run.is_pace_under_way
                    && now >= run.next_pace_at
                {
                    run.next_pace_at = now + Span(300);
                    run.is_pace_under_way = true;
                    self.actions.push(Action::Pace(id.clone(), *task, run.attempt, share));
                }
            }
        }
    }

    /// Handles the outcome of a call that sets the pace of a task, in percent. Each such call has one, also if
    /// it could not be sent.
    pub fn on_pace_answer(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        share: u64,
        is_confirmed: bool,
    ) {
        if !is_confirmed {
            self.fences.outrank(id);
        }
        let run = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(&task));
        let Some(run) = run.filter(|run| run.attempt == attempt) else {
            return;
        };
        run.is_pace_under_way = false;
        run.confirmed_pace = is_confirmed.then_some(share);
    }
}

pub(super) fn count_step_runs(
    workers: &IndexMap<WorkerId, Worker>,
    worker: &WorkerId,
    step: StepId,
) -> u32 {
    workers.get(worker).map_or(0, |worker| worker.count_step_runs(step))
}

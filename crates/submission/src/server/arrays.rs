//! Arrays of jobs: their members, and the limit on members that run at the same time.

use super::Server;
use crate::error::Problem;
use crate::ids::{ArrayKey, JobKey};
use crate::message::ArrayInfo;
use crate::sessions::SessionKey;
use crate::state::JobState;
use crate::template::Template;
use marbledeck_dispatcher::Micros;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Whether members are still being added to an array.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Growth {
    /// A client is submitting them.
    Submitting,
    /// The predecessor is sending them.
    Importing,
    /// No further members come.
    Complete,
}

/// An array of jobs from one template.
///
/// It exists as long as any job belongs to it, visible or not: a job names its array instead of holding what all members
/// share, so a job whose array is gone could neither be started nor be handed over to a successor. Clients only see an
/// array that has visible members, or to which members are still being added.
pub(super) struct JobArray {
    pub(super) template: Rc<Template>,
    pub(super) session: Option<SessionKey>,
    /// How many members may be active at the same time.
    pub(super) max_parallel: Option<u32>,
    /// The visible members.
    pub(super) members: BTreeSet<JobKey>,
    /// The members that are with the scheduler, of this process or the partner's.
    pub(super) active: BTreeSet<JobKey>,
    /// The members to pass to the scheduler next. Members that became held or ended are skipped when they are taken.
    pub(super) waiting: VecDeque<JobKey>,
    pub(super) running: BTreeSet<JobKey>,
    pub(super) ended: BTreeSet<JobKey>,
    /// No member is passed to the scheduler before this time, because it has rejected one.
    pub(super) paused_until: Option<Micros>,
    /// Whether all members are being terminated, so that none is passed to the scheduler.
    pub(super) is_stopped: bool,
    /// Whether members are still being added; an empty array is kept until then.
    pub(super) growth: Growth,
}

impl JobArray {
    pub(super) fn new(
        template: Rc<Template>,
        session: Option<SessionKey>,
        max_parallel: Option<u32>,
        growth: Growth,
    ) -> Self {
        JobArray {
            template,
            session,
            max_parallel,
            members: BTreeSet::new(),
            active: BTreeSet::new(),
            waiting: VecDeque::new(),
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
            paused_until: None,
            is_stopped: false,
            growth,
        }
    }

    /// Updates the sets of running and ended members.
    pub(super) fn update_member(&mut self, job: JobKey, state: JobState) {
        self.running.remove(&job);
        if state.is_final() {
            self.ended.insert(job);
        } else if state.has_started() {
            self.running.insert(job);
        }
    }

    /// Whether another member may be passed to the scheduler.
    pub(super) fn can_start_member(&self, now: Micros) -> bool {
        let has_capacity = self
            .max_parallel
            .is_none_or(|max| self.active.len() < max as usize);
        let is_paused = self.paused_until.is_some_and(|time| time > now);
        has_capacity && !self.is_stopped && !is_paused
    }

    /// Whether members are still being added.
    fn is_growing(&self) -> bool {
        self.growth != Growth::Complete
    }

    /// Whether clients can see it.
    fn is_visible(&self) -> bool {
        self.is_growing() || !self.members.is_empty()
    }

    /// Removes a member that is no longer visible.
    fn hide_member(&mut self, job: JobKey) {
        self.members.remove(&job);
        self.running.remove(&job);
        self.ended.remove(&job);
        self.active.remove(&job);
    }
}

impl Server {
    /// The array with this key, if there is one; also returns the key.
    pub(super) fn array_mut(
        &mut self,
        array: Option<ArrayKey>,
    ) -> Option<(ArrayKey, &mut JobArray)> {
        let key = array?;
        Some((key, self.arrays.get_mut(&key)?))
    }

    /// Finds the visible array with this id.
    pub(super) fn find_array(&self, id: &str) -> Result<ArrayKey, Problem> {
        let is_visible = |key: &ArrayKey| self.arrays.get(key).is_some_and(JobArray::is_visible);
        let key = self.ids.parse(id);
        key.filter(is_visible)
            .ok_or_else(|| Problem::invalid_argument("no such job array"))
    }

    /// Keeps an array from passing members to the scheduler before this time.
    pub(super) fn pause_array(&mut self, array: Option<ArrayKey>, until: Micros) {
        let Some((key, array)) = self.array_mut(array) else {
            return;
        };
        if array.max_parallel.is_none() && array.waiting.is_empty() {
            return;
        }
        if let Some(previous) = array.paused_until.replace(until) {
            self.paused_arrays.remove(&(previous, key));
        }
        self.paused_arrays.insert((until, key));
    }

    /// Marks the arrays whose pause is over as ready.
    pub(super) fn resume_paused_arrays(&mut self, now: Micros) {
        while let Some((time, array)) = self.paused_arrays.first().copied() {
            if time > now {
                return;
            }
            self.paused_arrays.pop_first();
            self.ready_arrays.insert(array);
        }
    }

    /// Marks an array as complete, and removes it if no job belongs to it.
    pub(super) fn finish_growing(&mut self, key: ArrayKey) {
        if let Some(array) = self.arrays.get_mut(&key) {
            array.growth = Growth::Complete;
        }
        self.remove_unused_array(Some(key));
    }

    /// Removes a job that is no longer with the scheduler from its array's active members, so that another can start.
    pub(super) fn deactivate_member(&mut self, job: JobKey, array: Option<ArrayKey>) {
        let Some((key, array)) = self.array_mut(array) else {
            return;
        };
        if array.active.remove(&job) {
            self.ready_arrays.insert(key);
        }
    }

    /// Removes a member that is no longer visible from its array's sets.
    pub(super) fn hide_member(&mut self, job: JobKey, array: Option<ArrayKey>) {
        if let Some((_, array)) = self.array_mut(array) {
            array.hide_member(job);
        }
    }

    /// Removes an array if no job belongs to it and none will.
    pub(super) fn remove_unused_array(&mut self, array: Option<ArrayKey>) {
        let Some(key) = array else {
            return;
        };
        let is_growing = self.arrays.get(&key).is_some_and(JobArray::is_growing);
        if is_growing || self.jobs.has_members(key) {
            return;
        }
        let paused_until = self
            .arrays
            .remove(&key)
            .and_then(|array| array.paused_until);
        if let Some(time) = paused_until {
            self.paused_arrays.remove(&(time, key));
        }
    }

    /// The information of an array that is sent to clients.
    pub(super) fn array_info(&self, key: ArrayKey) -> ArrayInfo {
        let Some(array) = self.arrays.get(&key) else {
            return ArrayInfo::default();
        };
        let session = array.session.and_then(|session| self.sessions.get(session));
        ArrayInfo {
            job_array_id: self.ids.id(key).to_string(),
            session: session.map(|session| session.name.clone()),
            max_parallel: array.max_parallel,
            jobs: array.members.len(),
            active: array.active.len(),
            waiting: array.members.len() - array.active.len() - array.ended.len(),
            ended: array.ended.len(),
        }
    }
}

//! Tasks: operations that are spread over several turns, so that one turn handles a bounded number of jobs.

use super::client::{ClientId, Task};
use super::Server;
use crate::scheduler::Scheduler;
use marbledeck_dispatcher::Micros;

impl Server {
    /// Sets a client's task.
    pub(super) fn set_task(&mut self, client: ClientId, task: Task) {
        if let Some(state) = self.clients.get_mut(&client) {
            state.task = Some(task);
        }
    }

    /// Queues a client's task if its earlier submissions are decided and their answers are read.
    pub(super) fn queue_task(&mut self, client: ClientId) {
        let is_ready = self
            .clients
            .get(&client)
            .is_some_and(|state| state.task.is_some() && state.is_ready_for_task());
        if is_ready && !self.task_queue.contains(&client) {
            self.task_queue.push_back(client);
        }
    }

    /// Continues a client's task with a bounded number of jobs.
    pub(super) fn continue_task(
        &mut self,
        now: Micros,
        client: ClientId,
        scheduler: &mut dyn Scheduler,
    ) {
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        if !state.is_ready_for_task() {
            return;
        }
        match state.task.take() {
            None => {}
            Some(Task::Bulk(bulk)) => self.continue_bulk(now, client, bulk, scheduler),
            Some(Task::Control(control)) => self.continue_control(now, client, control, scheduler),
        }
    }
}

"""The queue of a service's waiting tasks."""

import pytest

from gooseberrylink.task_queue import TaskQueue
from gooseberrylink.types import Job, JobRequest, Task, TaskSpec


@pytest.fixture
def make_task():
    """Returns a function that makes a task that is due at a time."""

    def make(name: str, due_s: float, expected_s: float = 1.0) -> Task:
        request = JobRequest("c", "s", [TaskSpec(None, expected_s)], 10.0)
        job = Job(name, request, submitted_s=0.0, expires_s=10.0)
        return Task(
            name, job, 0, request.tasks[0], expected_s, (0, due_s), is_long=False
        )

    return make


def test_task_that_is_queued_again_counts_once(make_task):
    queue = TaskQueue()
    head, task = make_task("head", 1.0), make_task("again", 2.0)
    queue.push(head)
    queue.push(task)
    for _ in range(3):
        queue.take(task)
        task.state = type(task.state).QUEUED
        queue.push(task)
    assert queue.peek_many(False, 8) == [head, task]
    assert queue.work_before_s((0, 9.0)) == 2.0
    assert (len(queue), queue.work_s) == (2, 2.0)
    queue.take(task)
    queue.drop(head)
    assert queue.peek(False) is None
    assert queue.peek_many(False, 8) == []


def test_rest_of_a_begun_job_goes_first_and_expired_jobs_are_found(make_task):
    queue = TaskQueue()
    begun, rest = make_task("begun", 5.0), make_task("rest", 5.0)
    rest.job = begun.job
    begun.job.tasks = [begun, rest]
    urgent, expired = make_task("urgent", 1.0), make_task("expired", 2.0)
    ranks = {begun: 11, rest: 11, urgent: 19, expired: 10}
    for task, rank in ranks.items():
        task.sort_key = -rank, task.sort_key[1]
        task.job.start_by_s = task.sort_key[1]
        queue.push(task)
    queue.take(begun)
    assert queue.candidates(1, 0.0) == [rest]
    assert queue.candidates(2, 3.0) == [rest, urgent, expired]
    begun.attempts, begun.state = 1, type(begun.state).QUEUED
    queue.push(begun)
    assert queue.candidates(2, 0.0) == [rest, begun]

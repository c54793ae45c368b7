"""Decides whether a job is admitted, and creates its tasks."""

import copy
import math

from gooseberrylink.codes import Code
from gooseberrylink.exceptions import RefusedError
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.operators.declarations import Customer, Service
from gooseberrylink.quotas import Quotas
from gooseberrylink.routing import RoutingPolicy
from gooseberrylink.run_times import RunTimeModel
from gooseberrylink.scheduling.evacuation import refusal_for_lack_of_room
from gooseberrylink.scheduling.sharing import make_sharing
from gooseberrylink.service_pool import ServicePool
from gooseberrylink.settings import EntrySettings
from gooseberrylink.types import Job, JobRequest, Task

# A job is refused if it is expected to complete after this share of its deadline. More
# urgent jobs may overtake it after its admission, and a job that expires half done has
# wasted its slots.
_MAX_DEADLINE_SHARE = 0.8
_MIN_RETRY_AFTER_S = 1.0
# During a shutdown a job is admitted only if its longest task may run this many times
# as long as expected. Declared run times are off by 0.4 (relative standard deviation),
# and half of the workers are of a slower kind.
_RUN_TIME_MARGIN = 2.0
_MAX_RETRY_AFTER_S = 30.0


class Admission:
    """Refuses jobs on submission that could not be answered in time.

    Attributes:
        startup_grace_ends_s: Time on the entry's clock until which jobs are
            admitted even if no agent is connected. After an outage entries
            restart sooner than agents reconnect, while the backend servers are
            idle.
    """

    def __init__(
        self,
        configuration: Configuration,
        quotas: Quotas,
        run_times: RunTimeModel,
        policy: RoutingPolicy,
        settings: EntrySettings,
    ):
        """Creates the admission control of an entry.

        Args:
            configuration: Declares customers, services and limits.
            quotas: The customers' token buckets at this entry.
            run_times: Predicts the run times of tasks.
            policy: How tasks are assigned. If it is not deadline-aware, jobs are not
                refused for the time that they are expected to take or to wait.
            settings: Settings of the entry.
        """
        self._configuration = configuration
        self._quotas = quotas
        self._run_times = run_times
        self._is_deadline_aware = policy.is_deadline_aware
        self._data_centre = settings.data_centre
        self.startup_grace_ends_s = 0.0

    def copy_for_trial(self) -> "Admission":
        """Returns a copy whose checks use up nothing of the quotas."""
        admission = copy.copy(self)
        admission._quotas = copy.deepcopy(self._quotas)
        return admission

    def check(
        self,
        request: JobRequest,
        pool: ServicePool,
        entry_count: int,
        now_s: float,
        is_draining: bool,
        time_left_s: float,
    ) -> None:
        """Checks a request against the rules, the quota and the capacity.

        Args:
            request: The request.
            pool: The pool of the service, in whose queue the tasks would wait.
            entry_count: Number of known entries, among which quotas are divided.
            now_s: Time on the entry's clock.
            is_draining: Whether the entry refuses every job.
            time_left_s: Time until this entry stops; infinite if it does not.

        Raises:
            RefusedError: The request is refused, with a 1xx code.
        """
        if is_draining:
            raise RefusedError(
                Code.SHUTTING_DOWN, "this entry is shutting down", _MIN_RETRY_AFTER_S
            )
        if self._configuration.declarations is None:
            raise RefusedError(
                Code.NOT_READY,
                "this entry has not received a configuration yet",
                _MIN_RETRY_AFTER_S,
            )
        customer = self._require_customer(request)
        service = self._require_service(request)
        self._check_limits(request, service)
        expected_s = self._predict_run_times_s(request)
        if self._is_deadline_aware and request.latency_target is not None:
            pool.sharing = make_sharing(
                pool.sharing,
                self._data_centre,
                self._configuration.priorities(request.service),
            )
            pool.sharing.record_request(request.customer, max(expected_s), now_s)
        if now_s > self.startup_grace_ends_s:
            self._check_backends(request, pool)
            self._check_capacity(request, customer, pool, now_s, expected_s)
        if _RUN_TIME_MARGIN * max(expected_s) > time_left_s:
            detail = (
                f"a task may take {_RUN_TIME_MARGIN * max(expected_s):.1f} s, but this"
                f" entry stops in {time_left_s:.1f} s"
            )
            raise RefusedError(Code.SHUTTING_DOWN, detail, _MIN_RETRY_AFTER_S)
        retry_after_s = self._quotas.try_admit(
            customer, len(request.tasks), entry_count, now_s
        )
        if retry_after_s is not None:
            detail = (
                f"the {len(request.tasks)} tasks of the job exceed what is left of the"
                f" quota of customer {customer.name}, which is"
                f" {customer.quota_starts_per_s:g} task starts per second"
            )
            raise RefusedError(Code.OVER_QUOTA, detail, retry_after_s)

    def create_tasks(self, job: Job, pool: ServicePool) -> None:
        """Creates the tasks of a job that passed the check.

        With a deadline-aware policy, the job's expected work is charged to its
        customer's weighted share.
        """
        request = job.request
        customer = self._configuration.customer(request.customer)
        expected_s = self._predict_run_times_s(request)
        sort_key = (0, job.submitted_s)
        if self._is_deadline_aware:
            sort_key = pool.sort_key(job, customer, sum(expected_s), max(expected_s))
            pool.charge(customer, sum(expected_s), job.submitted_s)
        if request.latency_target is not None:
            limit_s = pool.wait_limit_s(request, max(expected_s))
            job.longest_task_s = max(expected_s)
            job.predicted_wait_s = pool.predict_wait_s(
                sort_key, request, max(expected_s), job.submitted_s
            )
            job.start_by_s = job.submitted_s + limit_s
        long_after_s = self._configuration.long_threshold_s(request.service)
        for index, spec in enumerate(request.tasks):
            is_long = self._run_times.is_long(
                request.customer, request.service, spec.declared_s, long_after_s
            )
            pool.record_task_time(expected_s[index])
            task_id = f"{job.job_id}-{index}"
            job.tasks.append(
                Task(task_id, job, index, spec, expected_s[index], sort_key, is_long)
            )
        job.results = [None] * len(job.tasks)
        job.unfinished_count = len(job.tasks)

    def _require_customer(self, request: JobRequest) -> Customer:
        customer = self._configuration.customer(request.customer)
        if customer is None:
            detail = (
                f"customer {request.customer!r} is not declared in configuration"
                f" version {self._configuration.version}"
            )
            raise RefusedError(Code.UNKNOWN_CUSTOMER, detail)
        return customer

    def _require_service(self, request: JobRequest) -> Service:
        service = self._configuration.service(request.service)
        if service is None:
            detail = (
                f"service {request.service!r} is not declared in configuration"
                f" version {self._configuration.version}"
            )
            raise RefusedError(Code.UNKNOWN_SERVICE, detail)
        return service

    def _check_limits(self, request: JobRequest, service: Service) -> None:
        if not request.tasks:
            raise RefusedError(
                Code.MALFORMED_JOB, "the job has 0 tasks, expected 1 or more"
            )
        limit = self._configuration.declarations.rules.limits.max_tasks_per_job
        if len(request.tasks) > limit:
            detail = (
                f"the job has {len(request.tasks)} tasks, the limit max_tasks_per_job"
                f" is {limit}"
            )
            raise RefusedError(Code.TOO_MANY_TASKS, detail)
        if request.deadline_s > service.max_deadline_s:
            detail = (
                f"deadline_s is {request.deadline_s:g} s, the limit of service"
                f" {service.name} is {service.max_deadline_s:g} s"
            )
            raise RefusedError(Code.DEADLINE_INVALID, detail)
        must_not_repeat = service.never_repeat or not request.repeatable
        if must_not_repeat and not request.idempotency_key:
            detail = (
                f"a job of service {service.name} that must not run twice needs an"
                " Idempotency-Key header"
            )
            raise RefusedError(Code.IDEMPOTENCY_KEY_MISSING, detail)

    def _check_backends(self, request: JobRequest, pool: ServicePool) -> None:
        """Refuses a job if no backend server is connected or a task fits into none."""
        if not pool.can_serve():
            evacuated = {peer.data_centre for peer in pool.evacuated_peers()}
            if evacuated:
                raise refusal_for_lack_of_room(request.service, evacuated, math.inf)
            detail = (
                f"no backend server of service {request.service} is connected to this"
                " entry"
            )
            raise RefusedError(Code.NO_BACKEND_SERVER, detail, _MIN_RETRY_AFTER_S)
        distinct_resources = {spec.resources for spec in request.tasks}
        for resources in distinct_resources:
            if not pool.can_fit(resources):
                detail = (
                    f"no backend server of service {request.service} has the capacity"
                    f" at present for a task of {resources.units} units,"
                    f" {resources.memory_mb} MB of memory and {resources.gpus}"
                    " accelerators"
                )
                may_fit_later = pool.may_fit_later(resources)
                retry_after_s = _MIN_RETRY_AFTER_S if may_fit_later else None
                raise RefusedError(Code.TASK_TOO_LARGE, detail, retry_after_s)

    def _check_capacity(
        self,
        request: JobRequest,
        customer: Customer,
        pool: ServicePool,
        now_s: float,
        expected_s: list[float],
    ) -> None:
        """Refuses a job if the queue is full or the job is expected to be late."""
        limits = self._configuration.declarations.rules.limits
        if len(pool.queue) + len(request.tasks) > limits.max_queued_tasks:
            raise RefusedError(
                Code.OVERLOADED,
                f"the queue of service {request.service} has {len(pool.queue)} of at"
                f" most {limits.max_queued_tasks} tasks, and the job has"
                f" {len(request.tasks)} more",
                _MIN_RETRY_AFTER_S,
            )
        if not self._is_deadline_aware:
            return
        candidate = Job("", request, now_s, now_s + request.deadline_s)
        sort_key = pool.sort_key(candidate, customer, sum(expected_s), max(expected_s))
        if request.latency_target is not None:
            self._check_wait(request, pool, sort_key, max(expected_s), now_s)
            return
        # A job takes at least as long as its longest task, however many run at once.
        completion_s = (
            pool.expected_wait_s(sort_key) + sum(expected_s) / pool.parallelism()
        )
        completion_s = max(
            completion_s, pool.expected_wait_s(sort_key) + max(expected_s)
        )
        if completion_s > _MAX_DEADLINE_SHARE * request.deadline_s:
            retry_after_s = min(
                _MAX_RETRY_AFTER_S, max(0.1, completion_s - request.deadline_s)
            )
            detail = (
                f"the job would complete in about {completion_s:.1f} s,"
                f" over {_MAX_DEADLINE_SHARE:.0%} of its deadline of"
                f" {request.deadline_s:g} s"
            )
            raise RefusedError(Code.OVERLOADED, detail, retry_after_s)

    def _check_wait(
        self,
        request: JobRequest,
        pool: ServicePool,
        sort_key: tuple[int, float],
        longest_task_s: float,
        now_s: float,
    ) -> None:
        """Refuses a job that would exceed its wait limit in the queue."""
        expected_wait_s = pool.predict_wait_s(sort_key, request, longest_task_s, now_s)
        if expected_wait_s > pool.wait_limit_s(request, longest_task_s):
            pool.record_refused(request, longest_task_s, now_s)
            if math.isinf(expected_wait_s):
                expected = "customers of a higher priority lack room"
            else:
                expected = f"the first task would wait about {expected_wait_s:.2f} s"
            detail = (
                f"{expected},"
                f" too long for a latency target of {request.latency_target.stretch:g}"
                " times the run time plus"
                f" {request.latency_target.latency_s:g} s and a deadline of"
                f" {request.deadline_s:g} s"
            )
            retry_after_s = min(
                _MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, 2 * expected_wait_s)
            )
            if pool.sharing.is_active:
                retry_after_s = pool.retry_after_s()
            raise RefusedError(Code.OVERLOADED, detail, retry_after_s)

    def _predict_run_times_s(self, request: JobRequest) -> list[float]:
        return [
            self._run_times.predict_run_s(
                request.customer, request.service, spec.declared_s
            )
            for spec in request.tasks
        ]

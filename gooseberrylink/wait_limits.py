"""Computes how long a job may wait so that its answer is still on time.

The limits matter at peak load, when demand exceeds the capacity of the backend
servers. A job that has waited too long is late anyway, and would take capacity from
jobs that can still be on time. The limit is lower for slow hosts than for fast ones,
and on a slow host a long task may be late even without waiting.
"""

from gooseberrylink.types import JobRequest, LatencyTarget

# Time that messages take from the caller to the backend server and back.
_MESSAGE_OVERHEAD_S = 0.008
# Expected run times are off by a factor of 1.45, one standard deviation; a task that
# runs that much shorter than expected takes about 0.7 of its expected time.
_UNDERRUN_FACTOR = 0.7
# Share of its target response time that a job may wait even if it can't be on time.
_MIN_WAIT_SHARE = 0.25
# Share of its target response time within which a caller must know that its job is
# turned away, and time that the answer takes.
_MAX_KNOWN_SHARE = 0.25
_REFUSAL_OVERHEAD_S = 0.004


def on_time_wait_limit_s(
    latency_target: LatencyTarget, longest_task_s: float, slowdown: float
) -> float:
    """Returns how long a task may wait with its job still on time, in seconds.

    The latency target is a multiple of the actual run time. If the slowdown is below
    the stretch, a longer run allows a longer wait, and the limit assumes a run that
    is shorter than expected. If it is above, a longer run allows a shorter wait, and
    the limit assumes the expected run time. The result is negative if the job would
    be late even without waiting.

    Args:
        latency_target: When the job's answer is on time.
        longest_task_s: Expected run time of its longest task on a typical worker, in
            seconds (slowdown 1).
        slowdown: Run time divided by expected run time on the host in question.
    """
    spare_stretch = latency_target.stretch - slowdown
    estimate_factor = _UNDERRUN_FACTOR if spare_stretch > 0 else 1.0
    return (
        spare_stretch * estimate_factor * longest_task_s
        + latency_target.latency_s
        - _MESSAGE_OVERHEAD_S
    )


def wait_limit_s(request: JobRequest, longest_task_s: float, slowdown: float) -> float:
    """Returns how long a job may wait for its first task to start, in seconds.

    Args:
        request: The job.
        longest_task_s: Expected run time of its longest task on a typical worker, in
            seconds (slowdown 1).
        slowdown: Slowdown of the fastest hosts.
    """
    latency_target = request.latency_target
    if latency_target is None:
        return request.deadline_s
    target_s = latency_target.stretch * longest_task_s + latency_target.latency_s
    limit_s = max(
        on_time_wait_limit_s(latency_target, longest_task_s, slowdown),
        _MIN_WAIT_SHARE * target_s,
    )
    return min(limit_s, request.deadline_s)


def early_wait_limit_s(
    request: JobRequest, longest_task_s: float, slowdown: float
) -> float:
    """Returns how long a job may wait if its caller must know early, in seconds.

    It is the limit of wait_limit_s(), and at most a quarter of the target response
    time. Under overload a longer wait serves no more callers: it only lengthens the
    queue.
    """
    limit_s = wait_limit_s(request, longest_task_s, slowdown)
    latency_target = request.latency_target
    if latency_target is None:
        return limit_s
    target_s = latency_target.stretch * longest_task_s + latency_target.latency_s
    return min(limit_s, _MAX_KNOWN_SHARE * target_s - _REFUSAL_OVERHEAD_S)

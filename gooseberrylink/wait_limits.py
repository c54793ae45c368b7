"""Decides how long a job may wait, from when its answer would be prompt.

Answers the crest of a swing, when more is asked for than the backend servers can
do. A job that waited too long takes room from jobs that could still be answered
promptly, and its own answer comes late all the same. On a slow host it may wait
less than on a fast one, and there a long task may be late from the start.
"""

from gooseberrylink.types import JobRequest, LatencyTarget

# For the messages from the caller to the backend server and back.
_MESSAGE_OVERHEAD_S = 0.008
# Expected run times are off by a factor of 1.45, one standard deviation.
_UNDERRUN_FACTOR = 0.7
# A job that can be prompt nowhere waits that share of its prompt time.
_MIN_WAIT_SHARE = 0.25


def on_time_wait_limit_s(
    latency_target: LatencyTarget, expected_s: float, slowdown: float
) -> float:
    """Returns how long a task may wait and its job still be prompt, in seconds.

    The true run time counts for the promptness, too. So where the pace is below
    the stretch a task that takes longer than expected has more time to wait, and
    where it is above it has less.

    Args:
        latency_target: When the job's answer is on time.
        expected_s: Expected run time of its longest task on a host of pace 1.
        slowdown: How many times as long a task takes on the host in question.
    """
    spare_stretch = latency_target.stretch - slowdown
    estimate_factor = _UNDERRUN_FACTOR if spare_stretch > 0 else 1.0
    return (
        spare_stretch * estimate_factor * expected_s
        + latency_target.latency_s
        - _MESSAGE_OVERHEAD_S
    )


def wait_limit_s(request: JobRequest, longest_task_s: float, slowdown: float) -> float:
    """Returns how long a job may wait for its first task's start, in seconds.

    Args:
        request: The job.
        longest_task_s: Expected run time of its longest task on a host of pace 1.
        slowdown: Slowdown of the fastest hosts.
    """
    latency_target = request.latency_target
    if latency_target is None:
        return request.deadline_s
    on_time_s = latency_target.stretch * longest_task_s + latency_target.latency_s
    limit_s = max(
        on_time_wait_limit_s(latency_target, longest_task_s, slowdown),
        _MIN_WAIT_SHARE * on_time_s,
    )
    return min(limit_s, request.deadline_s)

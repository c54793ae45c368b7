"""Decides how long a job may wait at an entry before it is refused.

Answers the load at the crest of a demand swing: more work comes than the
workers can do. A job that waited too long takes room from jobs that could
still be answered promptly, and its own answer comes late all the same.
"""

from gooseberrylink.types import JobRequest

# The rest is for the run itself, whose declared time is off by 0.4.
_WAITING_SHARE = 0.25


def prompt_s(request: JobRequest, longest_s: float) -> float:
    """Returns how long after its submission a job's answer is prompt, in seconds.

    Args:
        request: The job.
        longest_s: Expected run time of its longest task.
    """
    promptness = request.promptness
    if promptness is None:
        return request.deadline_s
    return promptness.stretch * longest_s + promptness.latency_s


def patience_s(request: JobRequest, longest_s: float) -> float:
    """Returns how long a job may wait for its first task's start, in seconds."""
    if request.promptness is None:
        return request.deadline_s
    waiting_s = _WAITING_SHARE * prompt_s(request, longest_s)
    return min(waiting_s, request.deadline_s)

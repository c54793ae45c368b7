"""Defines the durations of leases at backend servers."""

import dataclasses

# Fraction by which a backend server's clock may be slow, as the platform specifies.
MAX_CLOCK_DRIFT = 0.02
# Less than the longest lease that the platform grants, which is 1 s.
LEASE_S = 0.9


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Durations of the lease, of its renewals and of stall detection.

    Attributes:
        lease_s: Duration of the lease that each start and renewal requests.
        max_stop_s: Longest time that a stop takes, as the platform specifies.
        wait_while_busy_s: How long a renewal waits for the end of a run while tasks
            run.
        wait_while_idle_s: How long a renewal waits while no task runs.
        retry_s: Pause before an unanswered request is repeated.
        max_stop_pause_s: Longest pause before a request to stop a run is repeated.
        max_silence_s: Time without a reply after which no new run is started.
        hung_s: Time without progress of any run after which the backend server
            counts as hung: no new run is started, and all runs are stopped.
        wait_while_stalled_s: How long a renewal waits while no run makes progress, or
            while runs that the agent did not start are being stopped.
        max_stall_s: Time without progress after which a single run is stopped.
            The longest tasks take 15 s, so their progress, which is reported in
            hundredths, rises every 0.15 s.
        max_unconfirmed_s: Time after a start without a reply at which its owner is told
            if it may still take effect. Most are stopped before. The job of the task
            may be sent again 1.3 s after the start.
        margin_s: Safety margin that is added to the computed end of a lease.
    """

    lease_s: float = LEASE_S
    max_stop_s: float = 0.05
    wait_while_busy_s: float = 0.15
    wait_while_idle_s: float = 0.25
    retry_s: float = 0.03
    max_stop_pause_s: float = 0.25
    max_silence_s: float = 0.5
    hung_s: float = 0.2
    wait_while_stalled_s: float = 0.05
    max_stall_s: float = 0.4
    max_unconfirmed_s: float = 0.55
    margin_s: float = 0.05

    def max_duration_s(self, lease_s: float) -> float:
        """Returns how long a lease may last on this host's clock."""
        return lease_s * (1 + MAX_CLOCK_DRIFT) + self.margin_s

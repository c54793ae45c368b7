"""Short soak runs; `gooseberrylink soak` does longer ones."""

import pytest
import trio

from gooseberrylink.soak.run import Soak

# Seed 1, and seeds that once failed, each with the cause.
SEEDS = [
    1,
    # Two faults: A run whose worker crashed before it replied to the start was reported
    # as never started. When the first heartbeat of a restarted worker arrived, the new
    # runs of this worker were reported as ended.
    31,
    # When a worker restarted, a run that began after the restart was reported as ended
    # together with those from before.
    40,
]
DURATION_S = 8.0


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults_of_real_processes(seed, tmp_path):
    result = trio.run(Soak(seed, DURATION_S, tmp_path).run)
    assert result.violations == []
    assert len(result.faults) >= 5
    assert result.status_counts[200] > 0

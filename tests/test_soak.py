"""Short soak runs; `gooseberrylink soak` does longer ones."""

import pytest
import trio

from gooseberrylink.soak.run import Soak

# Seeds that once failed, each with the cause.
SEEDS = [
    1,
    # A run whose start got no response before the worker crashed was reported as never
    # started. Later, after the first heartbeat of a restarted worker, its new runs were
    # reported as ended.
    31,
    # A run of a restarted worker was reported as ended with those before the restart.
    40,
]
DURATION_S = 8.0


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults_of_real_processes(seed, tmp_path):
    result = trio.run(Soak(seed, DURATION_S, tmp_path).run)
    assert result.violations == []
    assert len(result.faults) >= 5
    assert result.status_counts[200] > 0

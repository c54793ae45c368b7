"""Runs that are to be stopped at a backend server that confirms no stop."""

import pytest
import trio

from gooseberrylink.backends.leased import LeasedBackendClient, LeaseSettings
from gooseberrylink.backends.runs import ControlReply
from gooseberrylink.metrics import Metrics
from gooseberrylink.peers.messages import Status
from gooseberrylink.standins.leased_backend import FakeBackendOwner, FakeLeasedBackend

# A job that was answered 504 is sent again after this time.
RESUBMITTED_AFTER_S = 1.3


class BackendWithoutStops(FakeLeasedBackend):
    """Leaves requests to stop without a reply or effect; renewals are good."""

    are_stops_lost = True

    async def stop(self, key, fencing_token):
        if self.are_stops_lost:
            await trio.sleep(0.25)
            return ControlReply.UNANSWERED
        return await super().stop(key, fencing_token)


def ended_s(backend, name: str) -> float:
    return next(run.ended_s for run in backend.runs if run.key.name == name)


@pytest.fixture
def run_two_tasks(run_on_mock_clock):
    """Returns a function that runs a test while two tasks run."""

    def run(test):
        async def main():
            async with trio.open_nursery() as nursery:
                backend = BackendWithoutStops("tank-1", nursery)
                client = LeasedBackendClient(
                    backend,
                    5,
                    LeaseSettings(),
                    Metrics("agent", "tank-1"),
                    FakeBackendOwner(),
                )
                outcomes = {}

                async def run_task(name):
                    payload = {"name": name, "run_s": 6.0}
                    outcomes[name] = await client.run(name, "job", "shops", payload, 1)

                nursery.start_soon(backend.advance_runs)
                nursery.start_soon(client.run_background)
                while not client.is_open:
                    await trio.sleep(0.01)
                for name in "ab":
                    nursery.start_soon(run_task, name)
                await trio.sleep(1.0)
                await test(backend, client, outcomes)
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)

    return run


def test_run_that_does_not_stop_ends_before_its_job_is_sent_again(run_two_tasks):
    # The agent renewed the lease for it, and the job ran at two workers for 2.3 s.
    async def test(backend, client, outcomes):
        client.stop("a")
        stopped_s = trio.current_time()
        await trio.sleep(RESUBMITTED_AFTER_S)
        assert ended_s(backend, "a") < stopped_s + RESUBMITTED_AFTER_S
        assert outcomes["a"].status is Status.STOPPED
        # The worker is used again.
        await trio.sleep(0.5)
        outcome = await client.run("c", "job", "x", {"name": "c", "run_s": 2.0}, 1)
        assert outcome.status is Status.DONE

    run_two_tasks(test)


def test_start_does_not_extend_a_run_that_does_not_stop(run_two_tasks):
    async def test(backend, client, outcomes):
        client.stop("a")
        stopped_s = trio.current_time()
        await trio.sleep(0.9)
        await client.run("c", "job", "shops", {"name": "c", "run_s": 2.0}, 1)
        await trio.sleep(0.5)
        assert ended_s(backend, "a") < stopped_s + RESUBMITTED_AFTER_S

    run_two_tasks(test)


def test_stop_that_is_confirmed_within_a_second_ends_no_other_run(run_two_tasks):
    async def test(backend, client, outcomes):
        client.stop("a")
        await trio.sleep(0.9)
        backend.are_stops_lost = False
        await trio.sleep(6.0)
        assert outcomes["a"].status is Status.STOPPED
        assert outcomes["b"].status is Status.DONE

    run_two_tasks(test)

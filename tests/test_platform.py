"""Tests the platform's settings, desired state, heartbeats, jobs and store."""

import json
import pathlib

import httpcore
import pytest
import trio
import yaml

from gooseberrylink.backends.client import Announcement
from gooseberrylink.backends.incarnations import IncarnationTracker
from gooseberrylink.codes import Code
from gooseberrylink.exceptions import ConfigError, RefusedError
from gooseberrylink.http_server import serve_http
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.operators.declarations import Queue
from gooseberrylink.platform import job_api
from gooseberrylink.platform.desired_state import ChangeFeedSource
from gooseberrylink.platform.heartbeats import HeartbeatHandler
from gooseberrylink.platform.settings import read_settings
from gooseberrylink.resources import Resources
from gooseberrylink.scheduling.evacuation import Evacuations
from gooseberrylink.store import Rows, StoreErrorKind, put_with_retry

SETTINGS = {
    "node": "edge-1",
    "ip": "10.0.0.1",
    "zone": "north",
    "zones": {"north": "coast", "south": "coast"},
    "bindAddresses": {"front": "10.0.0.1:1", "readiness": "10.0.0.1:2"},
    "internalPorts": [7000, 7015],
    "seeds": ["10.0.0.9:3"],
    "platform": {"address": "10.9.0.1:4", "form": "table"},
    "bounds": {"holdMaxMs": 800},
    "somethingNew": {"a": 1},
}
STATE = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Shop.example",
            "pathPrefix": "/a/",
            "service": "s",
            "maxAttempts": 2,
            "stretch": 1.6,
            "targetLatencyMs": 60,
            "priority": 3,
        },
        {"name": "r-2", "host": "shop.example", "pathPrefix": "/a/b/", "service": "s"},
    ],
    "services": [{"name": "s", "admissionCheck": False}],
    "limits": {"maxBodyBytes": 4096},
}
QUEUE = Queue(
    name="r-1", host="h", path_prefix="/a/", service="s", max_failures=2, stretch=1.6
)


class FakeConfigurationReceiver:
    """Adopts the configurations that a source passes on."""

    def __init__(self):
        self.configuration = Configuration()
        self.evacuations = Evacuations()
        self.confirmed = 0

    @property
    def config_version(self) -> int:
        return self.configuration.version

    def adopt(self, version, text, source):
        self.configuration.adopt(version, text, source)

    def confirm_configuration(self):
        self.confirmed += 1

    def handle_source_failure(self, reason):
        pass


@pytest.fixture
def write_settings(tmp_path):
    def write(**changes) -> pathlib.Path:
        path = tmp_path / "settings.yaml"
        path.write_text(yaml.safe_dump(SETTINGS | changes))
        return path

    return write


def test_settings_ignore_unknown_fields(write_settings):
    settings = read_settings(write_settings())
    assert settings.link_port == 7000
    assert settings.seed_link_addresses == ["10.0.0.9:7000"]
    assert settings.bounds.hold_max_ms == 800


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"ip": None}, "ip"),
        ({"platform": {}}, "platform.address"),
        ({"bounds": {"holdMaxMs": "soon"}}, "bounds.holdMaxMs"),
        ({"zones": {}}, "zones"),
    ],
)
def test_invalid_settings_name_the_field(write_settings, changes, field):
    with pytest.raises(ConfigError) as error:
        read_settings(write_settings(**changes))
    assert f": {field}: " in str(error.value)


def test_missing_settings_file_raises(tmp_path):
    with pytest.raises(ConfigError, match="can't be read"):
        read_settings(tmp_path / "none.yaml")


def test_desired_state_is_followed_after_lost_history(run_with_store):
    async def test(fake_store, store, nursery):
        fake_store.put("op", "config", json.dumps(STATE).encode())
        receiver = FakeConfigurationReceiver()
        source = ChangeFeedSource(store, SETTINGS["zones"], Metrics("entry", "e"))
        nursery.start_soon(source.run, receiver)
        await wait_for_version(receiver, 7)
        queue = receiver.configuration.queue("SHOP.example", "/a/b/0123")
        assert (queue.name, queue.path_prefix) == ("r-2", "/a/b/")
        assert receiver.configuration.queue("shop.example", "/a/1").max_failures == 2
        assert receiver.configuration.queue("shop.example", "/c/1") is None
        assert receiver.configuration.priorities("s") == {"r-1": 3, "r-2": 0}
        fake_store.put("op", "config", b"no json")
        fake_store.put("op", "config", json.dumps(STATE | {"version": 9}).encode())
        await wait_for_version(receiver, 9)
        fake_store.is_down = True
        await trio.sleep(1.2)
        fake_store.drop_history()
        fake_store.put("op", "config", json.dumps(STATE | {"version": 12}).encode())
        fake_store.is_down = False
        await wait_for_version(receiver, 12)
        fake_store.put("op", "config", json.dumps(STATE | {"version": 11}).encode())
        await trio.sleep(0.2)
        assert receiver.config_version == 12

    run_with_store(test)


async def wait_for_version(receiver, version: int) -> None:
    with trio.fail_after(5):
        while receiver.config_version != version:
            await trio.sleep(0.01)


def test_store_distinguishes_kinds_of_failure(run_with_store):
    async def test(fake_store, store, nursery):
        assert await store.put("t", "k", b"\x00v") is None
        rows = await store.read_table("t")
        assert isinstance(rows, Rows)
        assert [(row.key, row.value) for row in rows.rows] == [("k", b"\x00v")]
        fake_store.put("t", "k", b"2")
        fake_store.drop_history()
        lost = await store.wait_for_changes("t", rows.version, 0.1)
        assert lost is StoreErrorKind.HISTORY_LOST
        fake_store.loses_responses = True
        assert await store.put("t", "k", b"3") is StoreErrorKind.UNKNOWN_OUTCOME
        assert fake_store.get_value("t", "k") == b"3"
        fake_store.is_down = True
        assert await store.put("t", "k", b"4") is StoreErrorKind.NO_EFFECT

    run_with_store(test)


def test_entry_registration_is_retried_until_the_store_recovers(run_with_store):
    async def test(fake_store, store, nursery):
        fake_store.is_down = True
        metrics = Metrics("entry", "e")
        nursery.start_soon(put_with_retry, store, "t", "e", b"here", metrics)
        await trio.sleep(0.5)
        fake_store.is_down = False
        await trio.sleep(1.2)
        assert fake_store.get_value("t", "e") == b"here"
        assert metrics.get("store_writes_failed", "no_effect") > 0

    run_with_store(test)


class FakeAgent:
    """Records the backends that are attached, detached and updated."""

    def __init__(self):
        self.metrics = Metrics("agent", "a")
        self.events: list[str] = []

    def attach_backend(self, backend, announcement):
        self.events.append(f"attach {announcement.incarnation}")

    def detach_backend(self, reason):
        self.events.append(f"detach {reason}")
        self.attached.is_closed = True

    def update_announcement(self, announcement):
        self.events.append(f"update {announcement.incarnation} {announcement.slots}")


class FakeBackendClient:
    """Records that its runs are marked as lost; runs no task and gets no reply."""

    confirmed_born_ms = None
    is_lost = False

    def __init__(self, agent, announcement):
        self._agent, self._incarnation = agent, announcement.incarnation
        self.is_closed = self.has_runs = False
        agent.attached = self

    def mark_lost(self, reason):
        self._agent.events.append(f"lost {self._incarnation}")

    def expect_end(self):
        pass

    def reconfirm_incarnation(self, born_ms):
        pass


def make_announcement(
    incarnation: str, born_ms: int, address: str = "w:1"
) -> Announcement:
    return Announcement("s", address, 8, incarnation=incarnation, born_ms=born_ms)


def test_late_heartbeats_of_an_earlier_incarnation_are_ignored():
    agent = FakeAgent()
    incarnations = IncarnationTracker(
        agent, lambda announcement: FakeBackendClient(agent, announcement)
    )
    incarnations.handle_announcement(make_announcement("i-1", 100), 5, False)
    incarnations.handle_announcement(make_announcement("i-1", 100), 4, True)
    incarnations.handle_announcement(make_announcement("i-2", 200), 1, False)
    incarnations.handle_announcement(make_announcement("i-1", 100), 9, True)
    assert agent.events == [
        "attach i-1",
        "detach replaced",
        "lost i-1",
        "attach i-2",
    ]
    incarnations.handle_announcement(make_announcement("i-2", 300), 1, False)
    assert agent.events[-1] == "update i-2 8"
    incarnations.handle_announcement(make_announcement("i-2", 300), 2, True)
    incarnations.handle_announcement(make_announcement("i-2", 300), 3, True)
    incarnations.handle_deregistration("i-2")
    assert agent.events[-2:] == ["update i-2 8", "detach draining"]


def test_first_heartbeat_after_a_restart_under_the_same_id_keeps_the_runs():
    # Soak seeds 31 and 40: tasks were started at the new incarnation before its first
    # heartbeat arrived. That heartbeat marked them as lost, so they were started again
    # and ran twice concurrently.
    agent = FakeAgent()
    backends = []

    def make(announcement):
        backends.append(FakeBackendClient(agent, announcement))
        return backends[-1]

    incarnations = IncarnationTracker(agent, make)
    incarnations.handle_announcement(make_announcement("i-1", 100), 5, False)
    backends[0].has_runs = True
    incarnations.handle_announcement(make_announcement("i-1", 200), 1, False)
    assert agent.events == ["attach i-1", "update i-1 8"]
    incarnations.handle_announcement(make_announcement("i-1", 200), 2, True)
    assert agent.events[-1] == "detach draining"
    incarnations.handle_announcement(make_announcement("i-1", 300), 1, False)
    assert agent.events[-1] == "detach draining"
    backends[0].has_runs = False
    incarnations.handle_announcement(make_announcement("i-1", 300), 2, False)
    assert agent.events[-2:] == ["lost i-1", "attach i-1"]


def test_announcement_from_another_address_does_not_mark_runs_as_lost():
    agent = FakeAgent()
    incarnations = IncarnationTracker(
        agent, lambda announcement: FakeBackendClient(agent, announcement)
    )
    incarnations.handle_announcement(make_announcement("i-1", 100), 1, False)
    incarnations.handle_announcement(make_announcement("i-2", 200, "w:2"), 1, False)
    assert "lost i-1" not in agent.events


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\x00",
        b"[]",
        b'{"service": "s"}',
        b'{"service": 7, "address": "a:1", "state": "ready", "capacity": {"cpu": 1},'
        b' "sequence": 1}',
        b'{"service": "other", "address": "a:1", "state": "ready",'
        b' "capacity": {"cpu": 1}, "sequence": 1}',
        b'{"service": "s", "address": "a:1", "state": "asleep",'
        b' "capacity": {"cpu": 1}, "sequence": 1}',
    ],
)
def test_invalid_heartbeats_are_rejected(body):
    agent = FakeAgent()
    incarnations = IncarnationTracker(
        agent, lambda announcement: FakeBackendClient(agent, announcement)
    )
    app = HeartbeatHandler("s", incarnations, agent.metrics).app

    async def main():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_http, app, "127.0.0.1:0", trio.sleep_forever
            )
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}/Instances.Heartbeat/i-1"
                response = await pool.request("POST", url, content=body)
            nursery.cancel_scope.cancel()
        return response.status

    assert trio.run(main) == 400
    assert agent.events == []
    assert agent.metrics.get("heartbeats_skipped") == 1


def test_job_is_decoded():
    step = {"count": 2, "cpu": 1600, "memMb": 64, "estimateMs": 120}
    body = json.dumps({"spec": "x", "bestEffort": True, "steps": [step]}).encode()
    job = job_api._parse_job(QUEUE, "00ff", {"x-deadline-ms": "2500"}, body)
    assert (job.deadline_s, job.job_id, job.rerun_policy.max_failures) == (
        2.5,
        "00ff",
        2,
    )
    assert [task.payload.name for task in job.tasks] == ["00ff.0.0.0", "00ff.0.0.1"]
    assert {task.resources for task in job.tasks} == {Resources(1600, 64, 0)}


@pytest.mark.parametrize(
    ("job", "code"),
    [
        ({}, Code.MALFORMED_JOB),
        ({"spec": "x", "steps": [{"count": "two"}]}, Code.MALFORMED_JOB),
        ({"spec": "x", "steps": [{"count": 1}]}, Code.UNSUPPORTED_JOB),
        (
            {"spec": "x", "bestEffort": True, "steps": [{"count": 1, "gang": True}]},
            Code.UNSUPPORTED_JOB,
        ),
        (
            {"spec": "x", "bestEffort": True, "steps": [{"count": 1}] * 2},
            Code.UNSUPPORTED_JOB,
        ),
    ],
)
def test_malformed_and_unsupported_jobs_are_refused(job, code):
    with pytest.raises(RefusedError) as error:
        job_api._parse_job(QUEUE, "00ff", {}, json.dumps(job).encode())
    assert error.value.code is code

"""Any bytes at any border give a typed error; no process ends."""

import json
import zlib

import httpcore
import msgspec
import pytest
import trio
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Result

from gooseberrylink.addresses import split_address
from gooseberrylink.agent import Agent
from gooseberrylink.backends import announcement_store
from gooseberrylink.backends.runs import (
    ControlReply,
    LeaseRenewal,
    RunKey,
    RunReport,
    StartReply,
)
from gooseberrylink.callers.models import parse_job
from gooseberrylink.exceptions import (
    ConfigError,
    LinkClosedError,
    MalformedAddressError,
    RefusedError,
)
from gooseberrylink.metrics import Metrics
from gooseberrylink.operators.configuration import Configuration
from gooseberrylink.operators.declarations import Declarations, Queue
from gooseberrylink.peers.config_push import decompress_update
from gooseberrylink.peers.messages import (
    ConfigUpdate,
    EntryFrame,
    decode_at_agent,
    decode_at_entry,
    encode,
)
from gooseberrylink.peers.tcp_link import TcpDialer
from gooseberrylink.platform import job_api
from gooseberrylink.platform.desired_state import ChangeFeedSource
from gooseberrylink.platform.heartbeats import HeartbeatHandler
from gooseberrylink.platform.http_client import Response
from gooseberrylink.platform.run_client import PlatformRunClient, TaskPayload
from gooseberrylink.platform.settings import Settings, read_settings
from gooseberrylink.platform.store import PlatformStore
from gooseberrylink.platform.table_service import HttpTableServiceClient
from gooseberrylink.settings import AgentSettings
from gooseberrylink.store import Rows, StoredRow, StoreErrorKind
from gooseberrylink.yaml_file import parse_model

QUEUE = Queue(
    name="r-1", host="h", path_prefix="/a/", service="s", max_failures=2, stretch=1.6
)
# Field names and words of all borders, so that generated values get past the first
# check of a decoder.
WORDS = st.sampled_from(
    "address announcement bestEffort bindAddresses born capacity clockMs conflicts"
    " count cpu customer ended estimateMs hasMore host is_leaving key memMb name node"
    " pathPrefix platform puts reason routes rows running s seeds sequence service"
    " services spec state steps table tasks tombstone value ver version versions zones"
    " done fence ready draining w:1".split()
)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | WORDS,
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(WORDS | st.text(max_size=5), inner, max_size=6)
    ),
    max_leaves=15,
)


@st.composite
def mutated(draw, valid):
    """Returns a copy of a JSON value in which one part is replaced or removed."""
    value = json.loads(json.dumps(valid))
    node = value
    while True:
        if isinstance(node, dict) and node:
            key = draw(st.sampled_from(sorted(node)))
        elif isinstance(node, list) and node:
            key = draw(st.integers(0, len(node) - 1))
        else:
            return draw(JSON_VALUES)
        if isinstance(node[key], dict | list) and node[key] and draw(st.booleans()):
            node = node[key]
            continue
        if draw(st.booleans()):
            del node[key]
        else:
            node[key] = draw(JSON_VALUES)
        return value


def bodies(valid):
    """Returns a strategy of bodies: any bytes, any JSON, or nearly valid JSON."""
    values = JSON_VALUES | mutated(valid)
    return st.binary(max_size=40) | values.map(lambda value: json.dumps(value).encode())


class FakeHttpClient:
    """Gives one fixed response to each call."""

    def __init__(self, status: int, body: bytes):
        self.response = Response(status, body)

    async def call(self, *_, **__):
        return self.response


class FakePool:
    """Gives one fixed response to each request."""

    def __init__(self, status: int, body: bytes):
        self.response = httpcore.Response(status, content=body)
        self.response.read()

    async def request(self, *_, **__):
        return self.response


def run(function, *arguments):
    return trio.run(function, *arguments)


HOLD = {
    "clockMs": 5,
    "born": 7,
    "running": [["a.0.0.1", 1, "", 40, 12]],
    "ended": [[3, "a.0.0.2", 1, "done", ""]],
}


@given(bodies(HOLD), st.sampled_from([200, 409, 421, 500, 503]))
def test_responses_of_a_backend_server(body, status):
    client = PlatformRunClient("127.0.0.1:1", "i-1")
    client._client = FakeHttpClient(status, body)
    report = run(client.renew, LeaseRenewal(1, 0, None, 0.0))
    assert isinstance(report, RunReport | ControlReply)
    key = RunKey("a.0.0.1", 1)
    payload = TaskPayload("a.0.0.1", "x")
    assert isinstance(run(client.start, key, payload, 5, 1), StartReply)
    assert isinstance(run(client.stop, key, 1), ControlReply)


@pytest.mark.parametrize("status", [202, 302, 500, 502, 504])
def test_unexpected_status_of_a_start_does_not_show_that_it_had_no_effect(status):
    client = PlatformRunClient("127.0.0.1:1", "i-1")
    client._client = FakeHttpClient(status, b"")
    key = RunKey("a.0.0.1", 1)
    payload = TaskPayload("a.0.0.1", "x")
    assert run(client.start, key, payload, 5, 1) is StartReply.UNANSWERED


@pytest.mark.parametrize("rows", [[["a.0.0.1", 1]], [[]], [None], [["a", "b", "", 1]]])
def test_short_row_of_a_lease_renewal_is_no_answer(rows):
    client = PlatformRunClient("127.0.0.1:1", "i-1")
    body = json.dumps(HOLD | {"running": rows}).encode()
    client._client = FakeHttpClient(200, body)
    assert run(client.renew, LeaseRenewal(1, 0, None, 0.0)) is ControlReply.UNANSWERED


# Each raised an error of its own type where a connection was opened.
NO_HOSTS = ["..:80", "a..b:80", f"{'a' * 64}:80", f"{'a.' * 127}a:80", "[.]:80"]
NO_HOSTS += ["[::g]:80", "[:]:80", "1.2.3:80", "999.1.1.1:80", ".:80"]


@pytest.mark.parametrize("address", NO_HOSTS)
def test_address_whose_host_no_resolver_accepts_is_malformed(address):
    with pytest.raises(MalformedAddressError, match="expected host:port"):
        split_address(address)


@pytest.mark.parametrize("address", ["10.0.0.9:80", "[::1]:80", "w-1_a.north:80"])
def test_addresses_of_hosts_are_accepted(address):
    assert split_address(address)[1] == 80


@given(st.text(max_size=30))
def test_addresses(text):
    try:
        host, port = split_address(text)
    except MalformedAddressError as error:
        assert repr(text)[:20] in str(error)
    else:
        assert text == f"{host}:{port}" or text.startswith(f"{host}:0")


@pytest.mark.parametrize("address", ["", "no-port", "h:99999", "h:1\n", "a b:1", "é:1"])
def test_malformed_address_of_an_entry_does_not_end_the_agent(address):
    async def main():
        agent = Agent(AgentSettings(worker="w", data_centre="d"), TcpDialer(), seed=1)
        async with trio.open_nursery() as nursery:
            await nursery.start(agent.run)
            agent.add_known_entries([address, "127.0.0.1:1"])
            await trio.sleep(0.2)
            assert agent.make_hello().entries == ["127.0.0.1:1"]
            nursery.cancel_scope.cancel()
        assert agent.metrics.get("entry_addresses_malformed") == 1
        assert agent.metrics.get("links_failed", "dial") >= 1

    trio.run(main)


@given(st.text(max_size=30))
@settings(max_examples=30)
def test_dialling_any_address_fails_as_a_closed_link(address):
    async def main():
        with pytest.raises(LinkClosedError):
            link = await TcpDialer().dial(address)
            link.close()

    if not address.isascii() or ":" not in address:
        trio.run(main)


@given(st.binary(max_size=60))
def test_frames(data):
    for decode in (decode_at_entry, decode_at_agent):
        try:
            decode(data)
        except msgspec.MsgspecError:
            pass


@given(st.binary(max_size=60), st.integers(0, 60))
def test_configuration_updates(data, length):
    packed = zlib.compress(b"{}" * 20)[:length]
    for candidate in (data, packed):
        try:
            decompress_update(ConfigUpdate(1, candidate))
        except msgspec.MsgspecError as error:
            assert "version 1" in str(error)


def test_oversized_configuration_update_is_not_decompressed():
    packed = zlib.compress(b"\0" * (64 * 1024 * 1024))
    with pytest.raises(msgspec.ValidationError, match="more than"):
        decompress_update(ConfigUpdate(3, packed))


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1",
        encode(EntryFrame(sent_s=1.0, items=[ConfigUpdate(9, b"not zlib")])),
        encode(EntryFrame(sent_s=1.0, items=[ConfigUpdate(9, zlib.compress(b"\xff"))])),
    ],
)
def test_malformed_frame_closes_only_its_link(run_on_deployment, make_job, data):
    async def test(deployment):
        entry = await deployment.add_entry("entry-1")
        agent = await deployment.add_agent("tank-1")
        await deployment.wait_connected()
        (connection,) = deployment.network.find_open_connections()
        connection.agent_end.deliver(data)
        connection.entry_end.deliver(data)
        await trio.sleep(3)
        assert connection.agent_end.is_closed
        await deployment.wait_connected()
        assert (await entry.submit(make_job(0.1))).code.name == "OK"
        assert agent.configuration.version == entry.configuration.version

    run_on_deployment(test)


HEARTBEAT = {
    "service": "s",
    "address": "w:1",
    "state": "ready",
    "capacity": {"cpu": 8, "memMb": 8},
    "sequence": 4,
    "born": 7,
    "labels": ["a", "r1"],
}


# Bytes that are no UTF-8 reach the handler as replacement characters.
UNUSABLE_IDS = ["i-\ufffd\ufffd", "i-\u00e9", "i 1", "i\r\nX-A: b", "i" * 201]


class RecordingReceiver:
    """Keeps the announcements that it receives."""

    def __init__(self):
        self.announcements = []

    def handle_announcement(self, announcement, sequence, is_draining):
        self.announcements.append(announcement)


@given(bodies(HEARTBEAT))
def test_heartbeats(body):
    receiver, metrics = RecordingReceiver(), Metrics("agent", "a")
    handler = HeartbeatHandler("s", receiver, metrics)
    response = handler._handle_heartbeat("i-1", body)
    assert response.status == (200 if receiver.announcements else 400)
    for announcement in receiver.announcements:
        PlatformRunClient(announcement.address, announcement.incarnation)
        assert announcement.slots >= 0


def handle_heartbeat(instance_id: str, **fields) -> tuple[int, list, Metrics]:
    """Returns the response's status, the announcements and the metrics."""
    receiver, metrics = RecordingReceiver(), Metrics("agent", "a")
    handler = HeartbeatHandler("s", receiver, metrics)
    body = json.dumps(HEARTBEAT | fields).encode()
    response = handler._handle_heartbeat(instance_id, body)
    return response.status, receiver.announcements, metrics


def test_heartbeat_names_its_backend_server():
    status, announcements, _ = handle_heartbeat("i-1")
    assert (status, announcements[0].incarnation) == (200, "i-1")


@pytest.mark.parametrize("instance_id", UNUSABLE_IDS)
def test_heartbeat_with_an_unusable_id_names_no_backend_server(instance_id):
    # Guards against an agent that ends, as its requests carry the id in a header.
    status, announcements, metrics = handle_heartbeat(instance_id)
    assert (status, announcements) == (400, [])
    assert metrics.get("heartbeats_skipped") == 1


@pytest.mark.parametrize(
    "fields", [{"address": "..:80"}, {"address": "[.]:80"}, {"born": 10**30}]
)
def test_heartbeat_with_an_unusable_field_names_no_backend_server(fields):
    status, announcements, _ = handle_heartbeat("i-1", **fields)
    assert (status, announcements) == (400, [])


ROWS = {"rows": [{"key": "k", "value": "aGk=", "ver": 3}], "ver": 4}


@given(bodies(ROWS), st.sampled_from([200, 400, 403, 410, 412, 429, 500, 502, 503]))
def test_responses_of_the_table_store(body, status):
    store = PlatformStore("127.0.0.1:1")
    store._client = FakeHttpClient(status, body)
    assert isinstance(run(store.wait_for_changes, "t", 1, 0.0), Rows | StoreErrorKind)
    row = run(store.read_row, "t", "k")
    assert row is None or isinstance(row, StoredRow | StoreErrorKind)
    kind = run(store.put, "t", "k", b"v")
    expected = None if status == 200 else StoreErrorKind.NO_EFFECT
    if status in (500, 502):
        expected = StoreErrorKind.UNKNOWN_OUTCOME
    elif status == 410:
        expected = StoreErrorKind.HISTORY_LOST
    assert kind is expected


@given(bodies({"versions": [1], "conflicts": [0], "key": "k", "version": 1}))
def test_responses_of_the_table_service(body):
    for status in (200, 404, 409, 500):
        client = HttpTableServiceClient("127.0.0.1:1", Metrics("entry", "e"))
        client._pool = FakePool(status, body)
        assert isinstance(run(client.read, "t", "k"), Result)
        assert isinstance(run(client.write, []), Result)


STORED = {
    "announcement": {"service": "s", "address": "w:1", "slots": 8, "born_ms": 7},
    "is_leaving": False,
}


@given(bodies(STORED))
def test_stored_announcements(value):
    stored = announcement_store._decode_row(StoredRow("k", value))
    if stored is not None:
        PlatformRunClient(stored.announcement.address, "i-1")


@pytest.mark.parametrize(
    "fields",
    [{"incarnation": i} for i in UNUSABLE_IDS]
    + [{"address": "..:80"}, {"address": "[.]:80"}, {"born_ms": 10**30}],
)
def test_stored_announcement_that_names_no_backend_server_is_not_restored(fields):
    # Guards against an agent that ends at each start, as an earlier release stored it.
    value = json.dumps(
        STORED | {"announcement": STORED["announcement"] | fields}
    ).encode()
    assert announcement_store._decode_row(StoredRow("k", value)) is None


STATE = {
    "version": 7,
    "routes": [{"name": "r", "host": "h", "pathPrefix": "/a/", "service": "s"}],
    "services": [{"name": "s"}],
    "limits": {"maxBodyBytes": 4096},
}


class AdoptingReceiver:
    """Adopts configurations as an entry does."""

    def __init__(self):
        self.configuration = Configuration()

    @property
    def config_version(self):
        return self.configuration.version

    def adopt(self, version, text, source):
        self.configuration.adopt(version, text, source)


@given(bodies(STATE))
def test_desired_states(value):
    receiver = AdoptingReceiver()
    source = ChangeFeedSource(None, {"north": "coast"}, Metrics("entry", "e"))
    source._adopt(receiver, value)
    assert receiver.config_version >= 0


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": []},
        {"routes": [], "services": []},
        {"services": [{"name": "s" * 65}, {"name": "_s 1"}]},
        {"routes": [STATE["routes"][0] | {"name": "r" * 65}]},
        {"limits": {"maxBodyBytes": 100}},
    ],
)
def test_desired_state_beyond_the_limits_of_a_file_is_adopted(changes):
    # A state without routes was refused, and jobs on the dropped route went on.
    receiver = AdoptingReceiver()
    source = ChangeFeedSource(None, {"north": "coast"}, Metrics("entry", "e"))
    source._adopt(receiver, json.dumps(STATE).encode())
    later = STATE | {"version": STATE["version"] + 1} | changes
    source._adopt(receiver, json.dumps(later).encode())
    assert receiver.config_version == later["version"]
    rules = receiver.configuration.declarations.rules
    assert [queue.name for queue in rules.queues] == [
        route["name"] for route in later["routes"]
    ]


def test_desired_state_whose_version_fits_into_no_frame_is_not_adopted():
    receiver = AdoptingReceiver()
    source = ChangeFeedSource(None, {"north": "coast"}, Metrics("entry", "e"))
    source._adopt(receiver, json.dumps(STATE | {"version": 10**30}).encode())
    assert receiver.config_version == 0


SETTINGS = {
    "node": "e-1",
    "ip": "10.0.0.1",
    "zone": "north",
    "zones": {"north": "coast"},
    "bindAddresses": {"front": "10.0.0.1:1"},
    "internalPorts": [7000, 7015],
    "seeds": ["10.0.0.9:3", "no-port"],
    "platform": {"address": "10.9.0.1:4"},
}


@given(st.text(max_size=40) | mutated(SETTINGS).map(yaml.safe_dump))
@settings(max_examples=50)
def test_settings_files(tmp_path_factory, text):
    path = tmp_path_factory.mktemp("settings") / "local.yaml"
    path.write_text(text, encoding="utf-8", errors="replace")
    for read in (
        read_settings,
        lambda p: parse_model(p.read_text(), "f", Declarations),
    ):
        try:
            settings_read = read(path)
        except ConfigError as error:
            assert error.errors
        else:
            if isinstance(settings_read, Settings):
                assert isinstance(settings_read.seed_link_addresses, list)


@pytest.mark.parametrize("address", ["no-port", "[.]:4", "..:4"])
def test_address_of_the_store_that_no_client_accepts_is_an_error(tmp_path, address):
    path = tmp_path / "local.yaml"
    path.write_text(yaml.safe_dump(SETTINGS | {"platform": {"address": address}}))
    with pytest.raises(ConfigError, match="platform.address"):
        read_settings(path)


@pytest.mark.parametrize("text", ["a: 2026-13-01", "&a [*a]", "[" * 3000])
def test_yaml_that_python_can_not_represent(tmp_path, text):
    path = tmp_path / "local.yaml"
    path.write_text(text)
    with pytest.raises(ConfigError):
        read_settings(path)
    with pytest.raises(ConfigError):
        parse_model(text, "f", AgentSettings)


JOB = {
    "spec": "x",
    "bestEffort": True,
    "steps": [{"count": 2, "cpu": 1600, "memMb": 64, "estimateMs": 120}],
}


@given(bodies(JOB), st.text(max_size=8))
def test_jobs(body, deadline):
    try:
        job = job_api._parse_job(QUEUE, "00ff", {"x-deadline-ms": deadline}, body)
    except RefusedError as error:
        assert error.code.execution_status.value == "not run"
        return
    assert job.deadline_s > 0 and job.tasks


@given(bodies({"customer": "c", "service": "s", "tasks": [{"declared_s": 1}]}))
def test_jobs_of_the_public_interface(body):
    try:
        assert parse_job(body, "", Configuration()).tasks
    except RefusedError as error:
        assert error.code.execution_status.value == "not run"


@pytest.mark.parametrize(
    "deadline", ["nan", "inf", "-inf", "0", "-5", "1e999", "x", ""]
)
def test_deadline_that_is_no_time_is_refused(deadline):
    with pytest.raises(RefusedError) as error:
        body = json.dumps(JOB).encode()
        job_api._parse_job(QUEUE, "00ff", {"x-deadline-ms": deadline}, body)
    assert error.value.code.name == "DEADLINE_INVALID"
    assert repr(deadline) in error.value.detail


@pytest.mark.parametrize("count", [0, -1, 10**9])
def test_number_of_tasks_that_can_not_be_run_is_refused(count):
    job = JOB | {"steps": [{"count": count}]}
    with pytest.raises(RefusedError) as error:
        job_api._parse_job(QUEUE, "00ff", {}, json.dumps(job).encode())
    assert error.value.code.name == "MALFORMED_JOB"


def test_job_whose_payload_fits_into_no_frame_is_refused():
    # Guards against an entry that ends when it encodes the task for an agent.
    job = {"customer": "c", "service": "s", "tasks": [{"payload": [10**30]}]}
    with pytest.raises(RefusedError) as error:
        parse_job(json.dumps(job).encode(), "", Configuration())
    assert "tasks.0.payload" in error.value.detail

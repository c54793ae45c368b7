"""Programs that can't start say why in one line, without a traceback."""

import os
import socket
import subprocess
import sys

import pytest
import yaml
from conftest import EXAMPLES

from gooseberrylink.commands.exit_codes import ExitCode


def run_program(*arguments: str, **environment: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env=os.environ | environment,
    )


@pytest.fixture
def taken_address():
    """Returns an address at which another socket listens."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize("field", ["listen", "listen_agents"])
def test_taken_port_of_an_entry_is_named(tmp_path, taken_address, field):
    settings = yaml.safe_load((EXAMPLES / "entry.yaml").read_text())
    settings |= {"listen": "127.0.0.1:0", "listen_agents": "127.0.0.1:0"}
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(settings | {field: taken_address}))
    done = run_program("gooseberrylink", "entry", "--settings", str(path))
    assert done.returncode == ExitCode.CANT_LISTEN
    assert taken_address in done.stderr
    assert "Traceback" not in done.stderr


PLATFORM_SETTINGS = {
    "node": "n-1",
    "ip": "127.0.0.1",
    "zone": "north",
    "zones": {"north": "coast"},
    "bindAddresses": {},
    "internalPorts": [0, 0],
    "platform": {"address": "127.0.0.1:1"},
    "service": "s",
}


@pytest.mark.parametrize(
    ("role", "change", "exit_code"),
    [
        # The entry's address for callers is checked with its settings.
        ("entry", {}, ExitCode.INVALID_FILE),
        ("agent", {}, ExitCode.CANT_LISTEN),
        ("entry", {"internalPorts": [99999, 99999]}, ExitCode.INVALID_FILE),
        ("entry", {"node": "a b"}, ExitCode.INVALID_FILE),
        ("agent", {"node": "a b"}, ExitCode.INVALID_FILE),
        ("entry", {"bounds": {"holdMaxMs": -1}}, ExitCode.INVALID_FILE),
        ("agent", {"bounds": {"holdMaxMs": -1}}, ExitCode.INVALID_FILE),
    ],
)
def test_unusable_platform_settings_are_named(tmp_path, role, change, exit_code):
    path = tmp_path / "local.yaml"
    path.write_text(yaml.safe_dump(PLATFORM_SETTINGS | change))
    done = run_program("gooseberrylink.platform", role, GOOSEBERRYLINK_BOOT=str(path))
    assert done.returncode == exit_code
    assert "Traceback" not in done.stderr
    assert done.stderr.strip()


@pytest.mark.parametrize("command", ["standin-platform", "standin-backend"])
def test_help_of_a_stand_in_is_printed(command):
    done = run_program("gooseberrylink", command, "--help")
    assert done.returncode == 0
    assert '{"' in done.stdout

"""Tests that the documents and examples agree with the code."""

import re

from conftest import EXAMPLES

from gooseberrylink.callers.status_codes import http_status
from gooseberrylink.codes import Code
from gooseberrylink.operators.declarations import Declarations
from gooseberrylink.settings import AgentSettings, EntrySettings
from gooseberrylink.yaml_file import read_model

DOCS = EXAMPLES.parent / "docs"


def test_table_of_codes_is_complete():
    text = (DOCS / "ERRORS.md").read_text()
    rows = re.findall(r"^\| (\d+) \| ([A-Z_]+) \| (\d+) \|", text, re.MULTILINE)
    written = [(int(code), name, int(status)) for code, name, status in rows]
    assert written == [(code, code.name, http_status(code)) for code in Code]


def test_examples_are_valid():
    for name in ("bennani.yaml", "chao-phraya.yaml"):
        read_model(EXAMPLES / name, Declarations)
    for name in ("entry.yaml", "entry-2.yaml"):
        read_model(EXAMPLES / name, EntrySettings)
    read_model(EXAMPLES / "agent.yaml", AgentSettings)

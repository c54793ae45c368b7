PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint bench capacity clean

setup: $(VENV)/ready

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/gooseberrylink demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: setup
	$(BIN)/gooseberrylink bench

capacity: setup
	$(BIN)/python lab/capacity.py

clean:
	rm -rf $(VENV) out

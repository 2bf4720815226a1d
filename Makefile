PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1
SOAK_SECONDS ?= 20
SOAK_SEEDS ?= 1
PROTOS := $(wildcard siskinproxy/*/proto/*.proto)

.PHONY: setup test lint format unit demo measure experiment bench capacity soak proto clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements/lock.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements/lock.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

lint: setup
	$(BIN)/ruff format --check siskinproxy examples
	$(BIN)/ruff check siskinproxy examples
	$(BIN)/flake8 siskinproxy examples

format: setup
	$(BIN)/ruff check --fix --quiet siskinproxy examples || true
	$(BIN)/ruff format siskinproxy examples

unit: setup
	$(BIN)/pytest

test: lint unit

demo: setup
	$(BIN)/python -m siskinproxy.standins.demo

measure: setup
	$(BIN)/python -m siskinproxy.measure.compare --seed $(SEED)

experiment: setup
	$(BIN)/python -m siskinproxy.emulator.run --seed $(SEED)

bench: setup
	$(BIN)/python -m siskinproxy.measure.bench

soak: setup
	$(BIN)/python -m siskinproxy.soak.run --seed $(SEED) --seconds $(SOAK_SECONDS) --count $(SOAK_SEEDS)

capacity: setup
	$(BIN)/python -m siskinproxy.measure.capacity

proto: setup
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc -I . \
		--python_out=. --grpclib_python_out=. $(PROTOS)

clean:
	rm -rf $(VENV) build *.egg-info

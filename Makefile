# Every target does its own set-up: a fresh machine needs Python 3.11 only.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint demo bench bench-slopes proofs soak format

$(STAMP): requirements/dev.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || \
		python3 -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements/dev.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e . || \
		$(BIN)/pip install -q --no-deps -e .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m tests.run

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8

format: $(STAMP)
	$(BIN)/ruff format .

demo: $(STAMP)
	$(BIN)/python -m bench.demo

bench: $(STAMP)
	$(BIN)/python -m bench.relay
	$(BIN)/python -m bench.policy
	$(BIN)/python -m bench.gateway
	$(BIN)/python -m bench.fleet
	$(BIN)/python -m bench.dissemination --gateways=30,195 --seconds=3

bench-slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

SEED ?= 1
MINUTES ?= 1
proofs: $(STAMP)
	$(BIN)/python -m bench.proofs --seed $(SEED) --minutes $(MINUTES)

# Random faults over running gateways; MINUTES of one seed.
soak: $(STAMP)
	$(BIN)/python -m bench.soak --seed=$(SEED) --minutes=$(MINUTES)

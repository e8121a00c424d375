VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PROJECTS := $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
SOURCES := $(wildcard packages/*/src) platform/src
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
export PYTHONPATH := $(subst $(SPACE),:,$(strip $(abspath $(SOURCES))))

.PHONY: environment check format test demo bench measure measure-state report soak faults codec

$(BIN)/.stamp: requirements.txt $(PROJECTS)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PROJECTS),--editable ./$(dir $(p)))
	touch $@

environment: $(BIN)/.stamp

check: environment
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports
	$(BIN)/mypy

format: environment
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: environment
	$(BIN)/python -m pytest
	$(BIN)/python -m pytest -m alone -n 0

demo: environment
	$(BIN)/python -m wagtailpaddle_standins.demo

codec: environment
	cd packages/peer/src && $(abspath $(BIN))/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --plugin=protoc-gen-grpclib_python=$(abspath $(BIN))/protoc-gen-grpclib_python --grpclib_python_out=. wagtailpaddle_peer/peer.proto

bench: environment
	$(BIN)/python -m wagtailpaddle_standins.bench

measure: environment
	$(BIN)/python -m wagtailpaddle_standins.measure

measure-state: environment
	$(BIN)/python -m wagtailpaddle_standins.measure_state

report: environment
	$(BIN)/python -m wagtailpaddle_standins.report --seed $(SEED)

SEED ?= 1
STEPS ?= 120
soak: environment
	$(BIN)/python -m wagtailpaddle_standins.soak --seed $(SEED) --steps $(STEPS)

SEEDS ?= 1
faults: environment
	$(BIN)/python -m wagtailpaddle_platform_standins.faultsoak --seed $(SEED) --seeds $(SEEDS)

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint format bench soak clean

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: setup
	$(BIN)/ragwortfield-demo
	$(BIN)/ragwortfield-job-demo

test: setup
	$(BIN)/python -m ragwortfield.testing.run_tests

lint: setup
	$(BIN)/ruff format --check ragwortfield benchmarks
	$(BIN)/flake8 ragwortfield benchmarks

format: setup
	$(BIN)/ruff format ragwortfield benchmarks

bench: setup
	$(BIN)/python -m benchmarks.proxy
	$(BIN)/python -m benchmarks.slopes

# More options: make soak SOAK="--seed 1 --seeds 50 --theme power"
soak: setup
	$(BIN)/python -m ragwortfield.soak.main $(SOAK)

clean:
	rm -rf $(VENV) var

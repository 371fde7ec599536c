VENV := .venv
BIN := $(VENV)/bin

$(VENV)/ready: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

.PHONY: run test lint bench soak mutants
run: $(VENV)/ready
	$(BIN)/railtide-demo

test: $(VENV)/ready
	CI=true $(BIN)/pytest -n 6

lint: $(VENV)/ready
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

bench: $(VENV)/ready
	$(BIN)/python -m bench.all

soak: $(VENV)/ready
	$(BIN)/python -m tests.soak

mutants: $(VENV)/ready
	$(BIN)/python -m tests.mutants

# Two commands are meant for newcomers: `make demo` and `make test`.
PYTHON ?= python3
BIN := .venv/bin

.venv/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

.PHONY: test check format check-shape changelog pytest demo bench capacity soak latency
test: check check-shape pytest

check: .venv/.installed
	$(BIN)/ruff format --check src testing bench
	$(BIN)/ruff check src testing bench
	$(BIN)/mypy

format: .venv/.installed
	$(BIN)/ruff check --fix src testing bench
	$(BIN)/ruff format src testing bench

check-shape: .venv/.installed
	$(BIN)/python -m testing.shape.check_shape src/_masticspoke src/masticspoke

changelog: .venv/.installed
	$(BIN)/python -m testing.docs.changelog

demo: .venv/.installed
	$(BIN)/python -m testing.live.demo

pytest: .venv/.installed
	$(BIN)/python -m pytest

bench: .venv/.installed
	$(BIN)/python -m bench.overload

capacity: .venv/.installed
	$(BIN)/python -m bench.capacity

latency: .venv/.installed
	$(BIN)/python -m bench.latency

SECONDS ?= 60
soak: .venv/.installed
	$(BIN)/python -m testing.explorer.explore $(SECONDS)

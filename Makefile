PYTHON ?= python3
ENV := .venv
BIN := $(ENV)/bin

.PHONY: demo test lint format bench

demo: $(ENV)/ready
	$(BIN)/python -m demo

test: $(ENV)/ready
	$(BIN)/python -m pytest

lint: $(ENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src platform bench standins demo tests
	$(BIN)/mypy
	PYTHONPATH=src:platform $(BIN)/lint-imports --no-cache

format: $(ENV)/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(ENV)/ready
	$(BIN)/python -m bench overload

$(ENV)/ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(ENV)
	$(BIN)/python -m pip install -q -c constraints.txt -e '.[dev,plot]'
	touch $(ENV)/ready

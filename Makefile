PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python

.PHONY: setup quickstart test lint format generate lock

setup: $(VENV)/.installed

$(VENV)/.installed: requirements/dev.lock
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --require-hashes --no-deps -r requirements/dev.lock
	touch $@

quickstart: setup
	$(RUN) -m medlarhollow.localfleet.quickstart

lint: setup
	$(RUN) -m ruff format --check .
	$(RUN) -m ruff check .
	$(RUN) tools/generate.py --check

test: lint
	$(RUN) tools/run_tests.py

format: setup
	$(RUN) -m ruff check --fix .
	$(RUN) -m ruff format .

generate: setup
	$(RUN) tools/generate.py
	$(RUN) -m medlarhollow.admin > docs/reference/openapi.json

lock: setup
	$(RUN) tools/lock_requirements.py

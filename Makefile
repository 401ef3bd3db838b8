PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python
LOCK = build/lock
# Libraries are compiled for a processor and a version of Python.
PLATFORM := $(shell $(PYTHON) -c 'import sysconfig as s; \
    print(s.get_platform(), s.get_python_version(), sep="-")')
INSTALLED = $(VENV)/.installed-$(PLATFORM)

.PHONY: setup quickstart test lint modelcheck format generate lock

setup: $(INSTALLED)

$(INSTALLED): requirements/dev.lock
	rm -rf $(VENV)
	$(PYTHON) -m venv $(VENV)
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

# The long exploration of the models; OPTIONS as --help of the command says.
modelcheck: setup
	$(RUN) -m medlarhollow.modelcheck $(OPTIONS)

format: setup
	$(RUN) -m ruff check --fix .
	$(RUN) -m ruff format .

generate: setup
	$(RUN) tools/generate.py
	$(RUN) -m medlarhollow.admin > docs/reference/openapi.json

# Pins are kept unless OPTIONS=--upgrade; a lock holds the hashes of the files
# for all processors.
lock:
	test -x $(LOCK)/bin/python || $(PYTHON) -m venv $(LOCK)
	$(LOCK)/bin/python -m pip install --quiet -r requirements/lock.in
	for name in runtime dev; do \
	    $(LOCK)/bin/pip-compile --quiet --generate-hashes --allow-unsafe \
	        --strip-extras --no-annotate --no-header --no-emit-index-url \
	        --no-emit-find-links --no-emit-trusted-host $(OPTIONS) \
	        --output-file requirements/$$name.lock \
	        requirements/$$name.in || exit 1; \
	done

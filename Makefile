VENV ?= .venv
PYTHON = $(VENV)/bin/python
KEEP ?=
LOCK = --quiet --generate-hashes --no-emit-index-url --no-emit-find-links \
	--no-emit-trusted-host --strip-extras --allow-unsafe --no-header

.PHONY: run test check bench bench-capacity format docs lock clean

run: $(VENV)/.ready
	$(PYTHON) -m standins.site $(if $(KEEP),--keep)

test: $(VENV)/.ready
	$(VENV)/bin/pytest -n 8 --dist worksteal -m "not crowd"
	$(VENV)/bin/pytest -m crowd

check: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

format: $(VENV)/.ready
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

docs: $(VENV)/.ready
	$(PYTHON) -m tools.settings_page
	$(PYTHON) -m tools.log_page

lock: $(VENV)/.ready
	$(VENV)/bin/pip-compile $(LOCK) --output-file requirements.txt requirements.in
	$(VENV)/bin/pip-compile $(LOCK) --output-file requirements-instance.txt requirements-instance.in
	$(VENV)/bin/pip-compile $(LOCK) --output-file requirements-dev.txt requirements-dev.in

bench-capacity: $(VENV)/.ready
	$(PYTHON) -m bench.capacity

clean:
	rm -rf $(VENV)

$(VENV)/.ready: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt -r requirements-dev.txt
	touch $@

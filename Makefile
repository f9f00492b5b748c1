VENV ?= .venv
PYTHON = $(VENV)/bin/python
KEEP ?=

.PHONY: run test check bench bench-capacity format lock clean

run: $(VENV)/.ready
	$(PYTHON) -m standins.site $(if $(KEEP),--keep)

test: $(VENV)/.ready
	$(VENV)/bin/pytest -n 8 --dist worksteal

check: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

format: $(VENV)/.ready
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

$(VENV)/.ready: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt -r requirements-dev.txt
	touch $@

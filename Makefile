# Every target first creates the virtual environment if it is missing, and
# installs requirements.lock into it whenever that file has changed.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONHASHSEED := 0
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: demo test check docs coverage

$(VENV)/.installed: requirements.lock
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: $(VENV)/.installed
	$(PY) -m lentilhaven.demo

test: $(VENV)/.installed
	@mkdir -p out
	$(PY) -m nose2 --quiet > out/test.log

check: $(VENV)/.installed
	$(VENV)/bin/ruff format --check lentilhaven
	$(VENV)/bin/ruff check lentilhaven
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

docs: $(VENV)/.installed
	$(PY) -m lentilhaven.settings_reference > docs/settings.md

coverage: $(VENV)/.installed
	@mkdir -p out
	COVERAGE_FILE=out/coverage $(VENV)/bin/coverage run --source lentilhaven -m nose2 --quiet > out/coverage.log 2>&1 || true
	COVERAGE_FILE=out/coverage $(VENV)/bin/coverage report --omit '*/tests/*' | tail -n 1

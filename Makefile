VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: demo test lint clean

demo: $(VENV)/installed
	$(PYTHON) examples/demo.py

test: $(VENV)/installed
	$(PYTHON) -m tests

lint: $(VENV)/installed
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

$(VENV)/installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

clean:
	rm -rf $(VENV) build src/*.egg-info

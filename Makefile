.DEFAULT_GOAL := help
VENV := .venv
PYTHON := $(VENV)/bin/python
PROCESSES := 5

.PHONY: help demo serve test check format proto clean

help:
	@echo "make demo   start everything on loopback, send four requests, check the answers"
	@echo "make serve  start everything on loopback and keep it running"
	@echo "make test   run all tests"
	@echo "make check  run black, isort and flake8"

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable ".[dev]"
	touch $@

demo: $(VENV)/.installed
	$(PYTHON) -m examples.demo

serve: $(VENV)/.installed
	$(PYTHON) -m examples.demo --serve

test: $(VENV)/.installed
	$(PYTHON) -m nose2 --quiet --plugin nose2.plugins.mp -N $(PROCESSES)

check: $(VENV)/.installed
	$(VENV)/bin/black --quiet --check .
	$(VENV)/bin/isort --quiet --check-only .
	$(VENV)/bin/flake8

format: $(VENV)/.installed
	$(VENV)/bin/isort --quiet .
	$(VENV)/bin/black --quiet .

proto: $(VENV)/.installed
	$(PYTHON) -m grpc_tools.protoc --proto_path=src --python_out=src \
		src/chicorycove/wire/link.proto src/chicorycove/wire/peer.proto
	$(PYTHON) -m grpc_tools.protoc --proto_path=src --grpc_python_out=src \
		src/chicorycove/wire/link.proto

clean:
	rm -rf $(VENV) build src/*.egg-info

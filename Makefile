VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PROTOC := PATH="$(CURDIR)/$(VENV)/bin:$$PATH" $(PYTHON) -m grpc_tools.protoc -Ischema
SHIPPED_PROTOS := $(filter-out schema/standins.proto,$(wildcard schema/*.proto))

.PHONY: test lint types unit demo schema schema-check bench docs dist clean

test: lint types schema-check unit

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/lint-imports --no-cache

types: $(STAMP)
	$(VENV)/bin/mypy

unit: $(STAMP)
	$(PYTHON) -m tests

demo: $(STAMP)
	$(PYTHON) -m demo

schema: $(STAMP)
	rm -rf pumicespur/schema/*_pb.py pumicespur/schema/*_connect.py standins/schema/*_pb.py
	$(PROTOC) --py_out=pumicespur/schema --connectrpc_out=pumicespur/schema $(SHIPPED_PROTOS)
	$(PROTOC) --py_out=standins/schema --connectrpc_out=standins/schema schema/standins.proto
	sed -i -E 's/^from \. import (fleet|platform)_pb/from pumicespur.schema import \1_pb/; s/^from \.(fleet|platform)_pb import/from pumicespur.schema.\1_pb import/' standins/schema/*.py
	$(PYTHON) -m pumicespur.config._reference > docs/operate/settings.md

schema-check: $(STAMP)
	$(PYTHON) -m tests.schema_check

bench: $(STAMP)
	$(PYTHON) -m benchmarks

docs: $(STAMP)
	$(VENV)/bin/mkdocs build --strict --quiet

dist: $(STAMP)
	rm -rf build
	mkdir -p dist
	$(VENV)/bin/shiv --quiet --output-file dist/pumicespur --entry-point pumicespur.__main__:main .

clean:
	rm -rf $(VENV) build dist site *.egg-info

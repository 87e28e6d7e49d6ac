VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: setup test lint format generate demo demo-fleet measure soak fuzz clean

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

# make test, make test TEST_JOBS=3
test: setup
	$(BIN)/python -m tests $(if $(TEST_JOBS),--jobs $(TEST_JOBS))

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Generated code is committed; run this after a change in schema/.
generate: setup
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -Ischema --python_out=. \
		--grpclib_python_out=. schema/flamingostack/generated/messages.proto
	$(BIN)/python schema/generate_settings.py

# make demo, make demo KEEP=1
demo: setup
	$(BIN)/python -m soak.demo $(if $(KEEP),--keep)

# The three processes of the product's own deployment.
demo-fleet: setup
	$(BIN)/python -m standins.demo

measure: setup
	$(BIN)/python -m bench $(MEASURE_ARGS)

# make soak, make soak SEED=7, make soak MINUTES=5
soak: setup
	$(BIN)/python -m soak $(if $(SEED),--seed $(SEED)) $(if $(MINUTES),--minutes $(MINUTES))

# make fuzz, make fuzz SEED=7, make fuzz MINUTES=5, make fuzz PROFILE=hostile-store
fuzz: setup
	$(BIN)/python -m soak --profile $(or $(PROFILE),hostile) $(if $(SEED),--seed $(SEED)) $(if $(MINUTES),--minutes $(MINUTES))

clean:
	rm -rf $(VENV) build *.egg-info out

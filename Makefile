# The everyday commands; each sets up the virtual environment it needs.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: setup demo test lint format bench capacity soak ablation messages clean

setup: $(READY)

$(READY): requirements.txt pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(READY)

demo: setup
	$(BIN)/python tools/demo.py

test: setup lint
	PYTHONHASHSEED=0 $(BIN)/behave --format progress3

lint: setup
	$(BIN)/ruff format --check src tools features
	$(BIN)/ruff check src tools features

format: setup
	$(BIN)/ruff check --fix src tools features
	$(BIN)/ruff format src tools features

bench: setup
	$(BIN)/python tools/bench.py

# Fifty seeds take about half an hour; SEED and SEEDS choose others.
soak: setup
	$(BIN)/python tools/soak.py --seed $(or $(SEED),1) --seeds $(or $(SEEDS),50)

capacity: setup
	$(BIN)/python tools/capacity.py

ablation: setup
	PYTHONHASHSEED=0 $(BIN)/python tools/ablation.py --seeds $(or $(SEEDS),6)

messages: setup
	PYTHONHASHSEED=0 $(BIN)/python tools/message_table.py

clean:
	rm -rf $(VENV) build src/*.egg-info

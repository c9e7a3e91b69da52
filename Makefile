PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= brackwater
SEED ?= 1
STEPS ?= 20000
STAMP := $(VENV)/.installed
PACKAGES := core server cli lab

# Entry VMs of the fault soak, and callers of each shape; three control VMs run besides.
SOAK_SEEDS ?= 5
SOAK_ENTRIES ?= 9
SOAK_CALLERS ?= 4
# --promotions adds faults around promotions of endpoints.
SOAK_OPTIONS ?=
# Seeds that failed with 6 entry VMs. 2, 5, 6, 9, 10, 11, 15, 18, 19 and 20: an entry VM ended while
# statements of transactions ran late in the grace period. 4 and 17: SIGHUP ended a process that was
# loading.
KEPT_SEEDS := 2 4 5 6 9 10 11 15 17 18 19 20
# Seeds that failed with --promotions. 203: a withheld write was refused when its time to wait for an
# endpoint ended in the same moment. 208: a simulated endpoint ran a read whose position it lacked.
KEPT_PROMOTION_SEEDS := 203 208

# The users' bench and their folder of deployments are outside the repository.
FLEETBENCH ?=
DEPLOYMENTS ?=
REGRESSION_SITES := further/kopprot-riga further-grown/kopprot-riga-grown \
	large/brackwater-pumpdesk-large grown/brackwater-pumpdesk-grown grown/msp-pool-grown
JOBS ?= 3

.PHONY: test demo platform-demo platform-soak platform-soak-kept bench capacity soak mutants format regression

$(STAMP): constraints.txt $(foreach package,$(PACKAGES),packages/gentianspread-$(package)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq --log out/install.log --no-compile --constraint constraints.txt setuptools pbr
	$(BIN)/pip install -qq --log out/install.log --no-compile --constraint constraints.txt --no-build-isolation \
		$(foreach package,$(PACKAGES),--editable packages/gentianspread-$(package)) \
		behave hypothesis black ruff
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m gentianspread_lab.checks

demo: $(STAMP)
	$(BIN)/python -m gentianspread_lab.demo --deployment=$(DEPLOYMENT)

platform-demo: $(STAMP)
	$(BIN)/python -m gentianspread_lab.platform.demo

platform-soak: $(STAMP)
	$(BIN)/python -m gentianspread_lab.platform.soak --seed=$(SEED) --count=$(SOAK_SEEDS) \
		--entries=$(SOAK_ENTRIES) --callers=$(SOAK_CALLERS) $(SOAK_OPTIONS)

platform-soak-kept: $(STAMP)
	for seed in $(KEPT_SEEDS); do \
		$(BIN)/python -m gentianspread_lab.platform.soak --seed=$$seed --entries=6 || exit 1; \
	done
	for seed in $(KEPT_PROMOTION_SEEDS); do \
		$(BIN)/python -m gentianspread_lab.platform.soak --seed=$$seed --entries=6 --promotions || exit 1; \
	done

bench: $(STAMP)
	$(BIN)/python -m gentianspread_lab.bench

capacity: $(STAMP)
	$(BIN)/python -m gentianspread_lab.capacity

soak: $(STAMP)
	$(BIN)/python -m gentianspread_lab.soak --seed=$(SEED) --steps=$(STEPS)

regression:
	@test -x "$(FLEETBENCH)" -a -d "$(DEPLOYMENTS)" || \
		{ echo "Set FLEETBENCH to the bench and DEPLOYMENTS to the folder of site files."; exit 1; }
	for site in $(REGRESSION_SITES); do \
		$(FLEETBENCH) score "$(DEPLOYMENTS)/$$site.toml" --quick --jobs $(JOBS) \
			--why "regression run" || exit 1; \
	done

mutants: $(STAMP)
	$(BIN)/python -m gentianspread_lab.mutants

format: $(STAMP)
	$(BIN)/black --quiet packages features
	$(BIN)/ruff check --fix packages features

# make measure      runs a short set of scenarios with the product and the naive
#                   version (under 5 minutes) and prints the table of
#                   docs/DESIGN.md.
# make measure-all  runs every scenario on the fleets of both users and prints the
#                   table of both.

LOAD := bin/amaranthwell-load
MEASURE_SEED := 1

.PHONY: measure measure-all

measure: build
	$(LOAD) run --seed $(MEASURE_SEED) --window 5s --output bin/load/measure \
	  --scenario steady --scenario flood-least --scenario flood-most-one-entry >/dev/null
	$(LOAD) table bin/load/measure/results.toml | tee bin/load/measure/table.md

measure-all: build
	$(LOAD) run --seed $(MEASURE_SEED) --fleet sapica --output bin/load/sapica >/dev/null
	$(LOAD) run --seed $(MEASURE_SEED) --fleet kwena --output bin/load/kwena >/dev/null
	$(LOAD) table bin/load/sapica/results.toml bin/load/kwena/results.toml | tee bin/load/table.md

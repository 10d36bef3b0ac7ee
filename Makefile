# Targets for developers and CI. The README documents them.
GO      ?= go
TOOL    := $(GO) tool -modfile=tools/go.mod
PKGS    := ./...

# How long 'make fuzz' runs each fuzz target.
FUZZTIME ?= 1m

.PHONY: build test fuzz lint format demo measure bench generate soak soak-mesh

build:
	mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

# Runs all tests with the race detector, except the known failures in KNOWN-RED.txt.
test:
	./.ci/test

# Runs each fuzz target of the packages that parse bytes of others. The tests run
# their seeds only.
fuzz:
	set -e; for pkg in ./frame ./h1 ./mesh ./platform; do \
		for target in $$($(GO) test $$pkg -list '^Fuzz' | grep '^Fuzz'); do \
			$(GO) test $$pkg -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME); \
		done; \
	done

lint:
	./.ci/lint

format:
	$(TOOL) gofumpt -w .
	$(TOOL) goimports -w -local dogwoodhead .

generate:
	$(GO) generate $(PKGS)

demo: build
	./bin/trial demo

measure: build
	./bin/trial measure

# The benchmarks behind docs/CAPACITY.md.
bench:
	$(GO) test -run xxx -bench 'Call|Inflight' -benchtime 2s ./node
	$(GO) test -run xxx -bench . -benchtime 0.5s ./once ./retry ./route ./level
	$(GO) test -run xxx -bench EnterRelease -benchtime 0.5s ./admit
	$(GO) test -run xxx -bench 'Members|Tree|Push' -benchtime 0.3s ./relay
	$(GO) test -run xxx -bench ControlBytes -benchtime 1x ./peer

soak: build
	./bin/trial soak
	./bin/trial soak --base deploy/collective/base.jsonc --overlay deploy/collective/ogun-west.jsonc

# A short run for CI. For a longer one: ./bin/trial mesh --seed N --seeds 50
soak-mesh: build
	./bin/trial mesh --seed 1 --vms 6 --length 5s

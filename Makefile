# Targets for building, checking and measuring banyanspring.

GO ?= go
BIN := $(CURDIR)/.bin
LINT_VERSION := v2.15.0
LINT := $(BIN)/golangci-lint
PACKAGES := ./...

.PHONY: help
help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

.PHONY: build
build: ## build the program into .bin
	$(GO) build -o $(BIN)/banyanspring .

.PHONY: check
check: format-check vet lint build test ## check the format, vet, lint, build and test; passes over what KNOWN-RED.txt names

.PHONY: format-check
format-check: ## fail if gofmt would change a file
	@files=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$files" ]; then echo "gofmt would change:"; echo "$$files"; exit 1; fi

.PHONY: vet
vet: ## run go vet
	$(GO) vet $(PACKAGES)

.PHONY: lint
lint: $(LINT) ## run the linter
	$(LINT) run

$(LINT):
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

.PHONY: test
test: ## run every test except those that KNOWN-RED.txt names, and print that file
	@skip=$$(GO="$(GO)" sh tests/known-red.sh) || exit 1; \
	set -- -timeout 10m $${skip:+-skip "$$skip"}; \
	echo "$(GO) test $$* $(PACKAGES)"; \
	$(GO) test "$$@" $(PACKAGES)
	@if [ -s KNOWN-RED.txt ]; then echo "Known red:"; cat KNOWN-RED.txt; fi

SEED ?= 1
FOR ?= 10m
# each_seed runs a command with one seed after another for the duration FOR
define each_seed
	@case "$(FOR)" in *m) seconds=$$(( $(FOR:m=) * 60 ));; *) seconds=$(FOR:s=);; esac; \
	end=$$(( $$(date +%s) + seconds )); seed=$(SEED); \
	while [ $$(date +%s) -lt $$end ]; do \
		echo "seed $$seed"; $(1) || exit 1; seed=$$(( seed + 1 )); \
	done
endef

SOAK_FOR ?= 10s
.PHONY: soak
soak: ## run the soak test, which injects faults, with one seed after another; SEED=n FOR=10m
	$(call each_seed,SOAK_SEED=$$seed SOAK_FOR=$(SOAK_FOR) $(GO) test ./platform -count=1 -run TestSoak -timeout 1h)

COUNT ?= 40
DIR ?= out/days
.PHONY: days
days: ## write days of overlapping releases and faults for deploy/hunt.sh; SEED=n COUNT=40 DIR=out/days
	DAYS_DIR=$(abspath $(DIR)) DAYS_SEED=$(SEED) DAYS_COUNT=$(COUNT) $(GO) test ./platform -count=1 -run 'TestDays$$'

.PHONY: random
random: ## run the random-fault test of the promotion logic with one seed after another; SEED=n FOR=10m
	$(call each_seed,$(GO) test ./core/promo -count=1 -run TestRandomFaults -timeout 1h -rapid.seed=$$seed -rapid.checks=20000)

.PHONY: fuzz
fuzz: ## run each fuzzer for the duration FOR, or for a number of inputs; FOR=10m, FOR=100000x
	@for file in $$(git grep -l '^func Fuzz' -- '*_test.go'); do \
		for name in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' $$file); do \
			echo "$$(dirname $$file) $$name"; \
			$(GO) test ./$$(dirname $$file) -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FOR) -fuzzminimizetime 20x -parallel 2 || exit 1; \
		done; \
	done

SPIN_FLAGS ?= -DMAXNUM=2 -DMAXLEN=2
.PHONY: model
model: ## check the Promela models with spin, and that each disabled rule is detected
	@command -v spin >/dev/null || (apt-get update -q && apt-get install -y -q spin)
	sh spec/check.sh $(SPIN_FLAGS)

.PHONY: bench
bench: ## run the benchmarks
	$(GO) test -run xxx -bench . ./...

.PHONY: generate
generate: ## regenerate the gRPC code; needs protoc and its Go plug-ins on the path
	protoc -I . --go_out=. --go_opt=module=banyanspring --go-grpc_out=. --go-grpc_opt=module=banyanspring io/wire/peer.proto

# Build, test and measurement targets; README.md describes them.
MODULES := core cactusctl cactusd cactuskeeper platform standin
PROGRAMS := cactusctl cactusd cactuskeeper standin
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo unknown)
LDFLAGS := -X cactusstream.example/core/process.Version=$(VERSION)
TOOLS := $(CURDIR)/.tools
# The linter caches findings with the absolute path of their file and reads that
# file to apply nolint directives. With a cache shared between checkouts, lint
# failed once the checkout that had filled it was deleted.
export GOLANGCI_LINT_CACHE := $(CURDIR)/.lint-cache

GOFUMPT_VERSION := v0.9.2
GOLANGCI_VERSION := v2.12.2
GOA_VERSION := v3.25.3

.PHONY: build demo test lint generate tools measure slopes mutants soak

build:
	@mkdir -p bin
	@for program in $(PROGRAMS); do go build -ldflags '$(LDFLAGS)' -o bin/$$program ./$$program || exit 1; done

demo: build
	@scripts/demo.sh

test: build
	@scripts/test.sh

lint: tools
	@unformatted=$$(git ls-files '*.go' | grep -v '/gen/' | xargs $(TOOLS)/gofumpt -l); \
	if [ -n "$$unformatted" ]; then echo "files not formatted with gofumpt:"; echo "$$unformatted"; exit 1; fi
	@for module in $(MODULES); do (cd $$module && $(TOOLS)/golangci-lint run ./...) || exit 1; done

generate: tools build
	cd core && $(TOOLS)/goa gen cactusstream.example/core/design -o .
	bin/cactusctl settings keys > docs/settings.md

tools: $(TOOLS)/gofumpt-$(GOFUMPT_VERSION) $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION) $(TOOLS)/goa-$(GOA_VERSION)

$(TOOLS)/gofumpt-$(GOFUMPT_VERSION):
	@mkdir -p $(TOOLS) && GOBIN=$(TOOLS) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION) && touch $@

$(TOOLS)/golangci-lint-$(GOLANGCI_VERSION):
	@mkdir -p $(TOOLS) && GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION) && touch $@

$(TOOLS)/goa-$(GOA_VERSION):
	@mkdir -p $(TOOLS) && GOBIN=$(TOOLS) go install goa.design/goa/v3/cmd/goa@$(GOA_VERSION) && touch $@

measure: build
	@scripts/measure.sh

mutants:
	@scripts/mutants.sh

slopes:
	@scripts/slopes.sh

# Runs the soak test with COUNT consecutive seeds starting at SEED, four in
# parallel, each for SECONDS.
soak: build
	@cd standin && CACTUS_SOAK_SEED=$(or $(SEED),1000) CACTUS_SOAK_COUNT=$(or $(COUNT),1) CACTUS_SOAK_SECONDS=$(or $(SECONDS),30) \
		go test ./internal/e2e -run '^TestSoak$$' -count 1 -parallel 4 -timeout 2h -v

# The version of the linter is pinned here; CI installs the linter itself.
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.12.2
# The linter caches findings with the path of the checkout that they were found in, and cannot apply nolint comments once
# that checkout is removed. A cache of its own for each checkout keeps the verdict independent of earlier runs elsewhere.
LINT_CACHE := $(CURDIR)/out/golangci-lint

.PHONY: soak build test lint demo demo-faults demo-serve prove capacity generate

build:
	go build ./...

test:
	bash scripts/test.sh

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	GOLANGCI_LINT_CACHE=$(LINT_CACHE) go run $(LINT) run ./...

demo:
	bash scripts/demo.sh

demo-faults:
	bash scripts/demo.sh faults

# Runs the demo's fleet without load until it is interrupted.
demo-serve:
	bash scripts/demo.sh serve

# Runs the property tests with more cases, and each fuzz target for a limited time.
prove:
	bash scripts/prove.sh

# Measures a short series; CAPACITY_SERIES=8,32,58,128,256,410 yields the figures in docs/CAPACITY.md.
capacity:
	go run ./cmd/reelrun-sim hollow -series $${CAPACITY_SERIES:-8,32,58} -window 10s -trials 5 -out out

# Requires buf and protoc-gen-go in PATH; the result is committed.
generate:
	buf generate

# Runs the soak test with new seeds; SOAK_SEEDS, SOAK_DURATION and SOAK_JOBS limit it.
soak:
	bash scripts/soak.sh

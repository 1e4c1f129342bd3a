# The version of the linter is pinned here; CI installs it by itself.
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

# The demo's fleet without its load, until it is interrupted.
demo-serve:
	bash scripts/demo.sh serve

# The long form of the proofs: more cases, each fuzz target for a bounded time.
prove:
	bash scripts/prove.sh

# The short form; CAPACITY_SERIES=8,32,58,128,256,410 gives the figures of docs/CAPACITY.md.
capacity:
	go run ./cmd/reelrun-sim hollow -series $${CAPACITY_SERIES:-8,32,58} -window 10s -trials 5 -out out

# Needs buf and protoc-gen-go on the path; the result is committed.
generate:
	buf generate

# The fault soak with fresh seeds; SOAK_SEEDS, SOAK_DURATION and SOAK_JOBS bound it.
soak:
	bash scripts/soak.sh

# The version of the linter is pinned here; CI installs it by itself.
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.12.2

.PHONY: build test lint demo demo-faults generate

build:
	go build ./...

test:
	go test -race -timeout 15m ./...

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	go run $(LINT) run ./...

demo:
	bash scripts/demo.sh

demo-faults:
	bash scripts/demo.sh faults

# Needs buf and protoc-gen-go on the path; the result is committed.
generate:
	buf generate

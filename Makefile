# make build     builds the commands into bin/.
# make run       builds the commands, starts the stand-ins and the entry instances,
#                and runs jobs end to end.
# make test      runs the linters, and every test with the race detector. Only tests
#                that KNOWN-RED.txt lists may fail.
# make fast      runs every test without the race detector and the linters.
# make lint      checks the format and runs the linters.
# make format    formats the Go files.
# make generate  regenerates the code for peer/peer.proto (needs protoc).

TOOL := go tool -modfile=tools/go.mod
GOFILES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: run test fast lint format generate build

build:
	go build -o bin/ ./cmd/...

run: build
	demo/run.sh

test: lint
	go test -race -timeout 30m -json ./... | go run -C tools ./knownred $(CURDIR)/KNOWN-RED.txt

fast:
	go test ./...

lint:
	@unformatted=$$($(TOOL) gofumpt -l $(GOFILES)); \
	  if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	$(TOOL) revive -config revive.toml -set_exit_status ./...
	$(TOOL) staticcheck ./...

format:
	$(TOOL) gofumpt -w $(GOFILES)

generate:
	mkdir -p bin/tools
	go build -modfile=tools/go.mod -o bin/tools/ \
	  google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH="$(CURDIR)/bin/tools:$$PATH" protoc \
	  --go_out=. --go_opt=module=github.com/amaranthwell/amaranthwell \
	  --go-drpc_out=. --go-drpc_opt=module=github.com/amaranthwell/amaranthwell \
	  peer/peer.proto

-include *.mk

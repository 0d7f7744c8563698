# Targets for a developer's machine; .ci/run is what a submission has to pass.
.PHONY: build test lint fuzz run clean measure-store measure-budgets measure-fleet measure-takeover measure-zones sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...
	go test -tags debug ./...
	go test -race ./...

lint:
	go vet ./... && go vet -tags debug ./... && go vet -tags faults,lawless ./...
	go tool staticcheck ./... && go tool staticcheck -tags debug ./... && go tool staticcheck -tags faults,lawless ./...
	@unformatted=$$(gofmt -l .) && test -z "$$unformatted" || { echo "gofmt: $$unformatted"; exit 1; }
	go run ./internal/tools/repocheck

# Ten seconds for each parser of the wire.
fuzz:
	@for p in jsonrpc resp discovery; do \
	  for t in $$(grep -ho 'func Fuzz[A-Za-z]*' internal/$$p/*_test.go | cut -c6-); do \
	    go test ./internal/$$p -run '^$$' -fuzz "^$$t$$" -fuzztime 10s || exit 1; done; done

# What the store promises, in figures; SCRATCH is on the disk that is measured. Minutes; not part of CI.
SCRATCH ?= $(or $(TMPDIR),/tmp)
measure-store: build
	go run ./internal/benchmark/measure store $(SCRATCH) bin

measure-budgets: build
	go run ./internal/benchmark/measure budgets $(SCRATCH) bin

measure-fleet: build
	go run ./internal/benchmark/measure council $(SCRATCH) bin
	go run ./internal/benchmark/measure fleet $(SCRATCH) bin

measure-takeover: build
	go run ./internal/benchmark/measure stories $(SCRATCH) bin
	go run ./internal/benchmark/measure takeover $(SCRATCH) bin
	go run ./internal/benchmark/measure kills $(SCRATCH) bin
	go run ./internal/benchmark/measure holds $(SCRATCH) bin
	go run ./internal/benchmark/measure orphans $(SCRATCH) bin
	go run ./internal/benchmark/measure control $(SCRATCH) bin

measure-zones: build
	go run ./internal/benchmark/measure zones $(SCRATCH) bin

# Lays beside the project's own sites what the operators' bench wants there; git ignores it.
KIT ?= ../given/kit
sites:
	cp -f $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt

# One controller with the example configuration; it serves on 127.0.0.1:9090 until Ctrl-C.
run: build
	RELAY_CONFIG=$${RELAY_CONFIG:-deploy/example.json} bin/liftshift $(if $(FILE),--file $(FILE))

clean:
	rm -rf bin

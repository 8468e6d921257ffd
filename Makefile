# Entry point for all tasks: `make` builds, `make test` runs the tests, `make demo`
# runs a whole deployment on this machine.
.PHONY: all build test race race-path fmt lint demo generate clean spec slopes bench mutate fuzz chaos soak drawn crowd

GO ?= go
FUZZTIME ?= 10s
# Go tests listed in KNOWN-RED.txt; CI prints them at its end.
KNOWN_RED = $(shell ./script/known-red)

all: build

build:
	$(GO) build -o bin/knapweedspur .
	$(GO) build -o bin/standin ./cmd/standin

test:
	$(GO) vet ./...
	$(GO) test -skip '$(KNOWN_RED)' $$($(GO) list ./... | grep -v /test/crowd)
	$(MAKE) crowd

# Real programs beside clients that misbehave; apart from the other tests, since these
# measure memory.
crowd:
	$(GO) test -count=1 -timeout 20m -skip '$(KNOWN_RED)' ./test/crowd

race:
	$(GO) test -race -skip '$(KNOWN_RED)' $$($(GO) list ./... | grep -v /test/crowd)

RACE ?= -race
race-path:
	$(GO) test $(RACE) -skip '$(KNOWN_RED)' -run 'EndToEnd|VMDies|NeverDecreases|Dies|Planned|LogDown|Racing|TasksEnd' ./test

fmt:
	gofmt -w .

lint:
	golangci-lint run ./...

demo: build
	./script/demo

generate:
	./script/generate

clean:
	rm -rf bin

spec:
	./script/spec

slopes: build
	./script/slopes

bench: build
	$(GO) test -run none -bench . -benchtime 1s ./...
	./script/bench-path
	./script/bench-routing

mutate:
	./script/mutate

fuzz:
	$(GO) test -run none -fuzz FuzzDecodeFrame -fuzztime $(FUZZTIME) ./internal/wire/codec
	$(GO) test -run none -fuzz FuzzDecodeBatch -fuzztime $(FUZZTIME) ./internal/wire/codec
	$(GO) test -run none -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/config/parser

SEED ?= 1
SEEDS ?= 1
soak: build
	./bin/standin soak --seed $(SEED) --seeds $(SEEDS)

chaos: build
	./script/chaos

# Drawn tests with other seeds, and more draws, than `make test` takes.
CHECKS ?= 1000
DRAWN = ./internal/job/jobreducer ./internal/job/queryscheduler ./internal/job/sequencer ./internal/job/planner ./internal/job/loaddivider \
  ./internal/agent/requestadmitter ./internal/agent/taskadmitter ./internal/state/taskreducer
drawn:
	$(GO) test -count=1 -skip '$(KNOWN_RED)' $(DRAWN) -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)

# demo: the whole system on loopback. test: everything that CI runs.
.PHONY: demo test prove build

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...
	go build -tags lab -o bin/ravenwayd-lab ./cmd/ravenwayd

demo:
	./scripts/demo.sh

test:
	./scripts/test.sh

# The long set: many more seeds of each simulation.
prove: build
	bin/ravenway-lab simulate --seeds 2000

# Targets for developers and for CI, which calls the same ones.

POLICY = balance/balance.go

.PHONY: all build test lint run

all: lint build test

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# Two runs of go test, of which only the failures listed in KNOWN-RED.txt are tolerated; see tools/testgate. The decision module, the
# single-threaded models and simulations, and the tools run without the race detector; everything else runs with it.
test:
	go run ./tools/testgate \
		-timeout 30m ./balance/... ./rehearsal/lifemodel ./rehearsal/coremodel ./rehearsal/catalog ./rehearsal/walk ./rehearsal/crowd \
		./rehearsal/turnsmodel ./rehearsal/upstreammodel ./rehearsal/rolloutsim ./rehearsal/province ./tools/... \
		-- -race -timeout 30m ./cmd/... ./internal/... ./rehearsal/model ./rehearsal/processes \
		./rehearsal/soak

# The long soak test, not part of CI: prints a line for each seed, a summary, and the command that reproduces each failure.
#   make soak SEEDS=50 FIRST=1
SEEDS ?= 50
FIRST ?= 1
BESIDE ?= 4
.PHONY: soak
soak:
	go test -count 1 -timeout 120m ./rehearsal/soak -run TestSoak -v -args -seeds $(SEEDS) -first $(FIRST) -beside $(BESIDE)
	go test -count 1 -timeout 120m ./rehearsal/processes -run 'UnderFaultsFromASeed' -v \
		-args -storms $(SEEDS) -storm $(FIRST) -councils $(SEEDS) -council $(FIRST)

# Checks that the soak test detects each injected bug, in a clone of the last commit.
.PHONY: soak-plants
soak-plants:
	go test -count 1 -timeout 60m ./rehearsal/soak -run TestPlants -v -args -plants

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not gofmt-ed: $$unformatted" >&2; exit 1; fi
	go vet ./...
	@if expand -t 4 $(POLICY) | grep -nE '^.{111,}$$'; then \
	  echo "$(POLICY): lines longer than 110 characters" >&2; exit 1; fi

# One node with the example configuration, on loopback. Without discovery there it uses the known hosts of the configuration.
run: build
	GW_NAME=n0 GW_CONFIG=deploy/example.json bin/lichenhitch

# Three nodes of a building and one of its province, each with its site file; see docs/operate/turns.md.
.PHONY: run-site
run-site: build
	deploy/run-site.sh

# Measures the speed of the model checker and the sizes of the models, for docs/design/model.md. Takes some 15 minutes and all cores.
.PHONY: bench-model
bench-model: build
	for n in 1 2 4; do GOMAXPROCS=$$n bin/rehearse model --quiet --workers $$n || exit 1; done
	bin/rehearse model --quiet --no-symmetry
	bin/rehearse model --gateways 4 --clients 1
	bin/rehearse model --gateways 4 --clients 2 --memory 16384 --within 5m --no-liveness || [ $$? -eq 3 ]
	bin/rehearse model --model core --notices 2
	bin/rehearse model --model core --clients 2 --within 10m --memory 16384 || [ $$? -eq 3 ]
	bin/rehearse model --model connection
	go test ./internal/query -run '^$$' -bench Query -count 10

# Regenerates the code of the .proto files, which is committed. Needs protoc, protoc-gen-go and protoc-gen-connect-go on the path.
.PHONY: proto
proto:
	protoc --go_out=. --go_opt=module=lichenhitch internal/site/sitepb/site.proto
	protoc --go_out=. --go_opt=module=lichenhitch --connect-go_out=. --connect-go_opt=module=lichenhitch internal/peer/peerpb/peer.proto

# Commands for developers and users; `make help` lists them.
.PHONY: help build test docs generate thin demo bench spread faults soak

help: ## list the commands
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/:/'

build: ## build both binaries and the stand-ins into bin/
	go build -o bin/ ./acaciawinchd/... ./acaciawinch/... ./standin/cmd/...

test: ## check the format, run the linters and all tests; only core packages without goroutines and locks skip the race detector
	scripts/test.sh

thin: build ## run one entry and one upstream per stage, and send one streamed request
	bin/demo --bin bin --thin

demo: build ## run the Institute's deployment, then gateways against stand-ins of the users' platform, and send requests of each kind
	bin/demo --bin bin
	bin/platformdemo --bin bin

bench: build ## run the load benchmark on both deployments under our policy and the baseline policies; writes docs/measurements/
	bin/bench load --version $(shell git rev-parse --short HEAD) --out docs/measurements

spread: build ## measure the time until an accepted configuration change is in force in 200 processes; writes docs/measurements/
	bin/bench spread --out docs/measurements

faults: build ## run the fault matrix with the real binaries; writes docs/FAULTS.md
	bin/faults --bin bin --page docs/FAULTS.md --commit $$(git rev-parse --short HEAD)

soak: build ## run the soak test, real processes under random faults: the seeds that failed before, then 50 new ones
	bin/soak --bin bin --regressions --jobs 3
	bin/soak --bin bin --fresh --seeds 50 --jobs 6

docs: ## regenerate the pages that are derived from the code, and check the others
	go run ./observe/cmd/events > docs/EVENTS.md
	go run ./core/chart/cmd/charts > docs/CHARTS.md
	go test -count=1 -run 'Page|Settings|Examples' ./observe/event ./core/chart ./acaciawinch ./standin/pages

generate: ## regenerate the committed drpc code (needs protoc, protoc-gen-go, protoc-gen-go-drpc)
	cd wire/wirepb && protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. wire.proto

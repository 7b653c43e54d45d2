# Targets: build, demo, test, lint, model, measure, generate, ci.
.PHONY: build demo test lint model measure generate ci

build:
	@mkdir -p .bin
	go build -o .bin/ ./cmd/... ./standin/cmd/...

demo: build
	.bin/demo

test:
	bash scripts/test.sh

lint:
	bash scripts/lint.sh

model:
	bash scripts/model.sh

measure: build
	.bin/chervilbench measure $(if $(QUICK),--quick)

generate:
	bash scripts/generate.sh

ci:
	bash .ci/run

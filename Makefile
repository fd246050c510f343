.PHONY: build demo proof test lint generate

build:
	@mkdir -p bin
	go build -o bin/ ./entry ./agent ./router ./tarragonvalve ./standin ./bench

DEPLOYMENT ?= ilmek

demo:
	./scripts/demo $(DEPLOYMENT)

proof:
	cd proof && go test -race -count=1 -timeout 30m ./...

test:
	./.ci/test

lint:
	./.ci/run

generate:
	cd core/wire && GOWORK=off buf generate
	cd router/share && GOWORK=off buf generate

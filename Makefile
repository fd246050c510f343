.PHONY: build demo test lint generate

build:
	@mkdir -p bin
	go build -o bin/ ./entry ./agent ./tarragonvalve ./standin ./bench

test:
	./.ci/test

lint:
	./.ci/run

generate:
	cd core/wire && GOWORK=off buf generate

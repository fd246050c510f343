// Package soak runs routers as separate processes between stand-ins of the
// users' store and servers, injects faults from outside by a seed, and checks
// the promises of the platform's pages by what clients and servers see.
//
// A short run with fixed seeds is part of the tests. Longer ones:
//
//	SOAK_SEEDS=100-149 SOAK_TIME=12s go test -run TestSeeds -timeout 30m ./...
package soak

// Package soak runs routers as separate processes with stand-ins for the users' store
// and servers, injects random faults from outside by a seed, and checks the guarantees of
// the platform's documentation by what clients and servers observe.
//
// TestSeeds injects all kinds of faults at once. TestPlannedSeeds does planned work only, so that no request may be
// lost, and TestEdgeSeeds sends streams near the time up to which a stopping router may take and cut them.
// TestLateSeeds gives a router little processor time in spells, TestFullLinkSeeds a slow link.
// TestCrashSeeds has parts of prompts crash model servers, and TestEndlessSeeds has servers send without end.
//
// A short run with fixed seeds is part of the tests. For longer ones:
//
//	SOAK_SEEDS=100-149 SOAK_TIME=12s go test -run TestSeeds -timeout 30m ./...
//
// SOAK_LOGS names a directory that gets the whole output of each router; a failed run prints only the end.
package soak

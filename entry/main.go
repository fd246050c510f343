// Command entry serves callers and operators and routes requests to the agents
// beside the upstreams.
package main

import (
	"os"

	"tarragonvalve.example/entry/boot"
)

func main() {
	os.Exit(boot.Main(os.Args[1:], os.Stdout, os.Stderr))
}

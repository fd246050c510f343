// Command agent runs beside one upstream, queues the work for it and checks all work
// immediately before it is sent.
package main

import (
	"os"

	"tarragonvalve.example/agent/boot"
)

func main() {
	os.Exit(boot.Main(os.Args[1:], os.Stdout, os.Stderr))
}

// Command bench compares the routing policy with baselines on real processes.
package main

import (
	"os"

	"tarragonvalve.example/bench/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}

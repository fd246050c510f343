// Command bench runs experiments on real processes: it compares the routing policy with
// baselines and measures how costs grow with the size of a deployment.
package main

import (
	"os"

	"tarragonvalve.example/bench/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}

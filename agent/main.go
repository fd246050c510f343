// Command agent runs beside one upstream and makes the last check before work runs.
package main

import (
	"os"

	"tarragonvalve.example/agent/boot"
)

func main() {
	os.Exit(boot.Main(os.Args[1:], os.Stdout, os.Stderr))
}

// Command standin runs stand-ins (test doubles) for the platform's services and for
// upstreams. Faults are injected into them over an HTTP control API.
package main

import (
	"os"

	"tarragonvalve.example/standin/boot"
)

func main() {
	os.Exit(boot.Main(os.Args[1:], os.Stdout, os.Stderr))
}

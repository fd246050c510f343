// Command standin runs stand-ins for the platform's services on loopback, with
// faults that are switched over HTTP.
package main

import (
	"os"

	"tarragonvalve.example/standin/boot"
)

func main() {
	os.Exit(boot.Main(os.Args[1:], os.Stdout, os.Stderr))
}

// Command router is a reverse proxy for the users' platform: it accepts clients' HTTP
// requests and sends them directly to the registered upstreams.
package main

import (
	"os"

	"tarragonvalve.example/router/boot"
)

func main() {
	os.Exit(boot.Main(os.Args[1:], os.Stdout, os.Stderr))
}

// Command router serves clients on the users' platform and speaks to upstreams directly.
package main

import (
	"os"

	"tarragonvalve.example/router/boot"
)

func main() {
	os.Exit(boot.Main(os.Args[1:], os.Stdout, os.Stderr))
}

// Command tarragonvalve is the operators' command-line client of the administration
// API of the entries.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tarragonvalve.example/tarragonvalve/verbs"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := verbs.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

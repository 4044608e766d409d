// Command agategate steers requests between callers and upstreams.
//
// Usage:
//
//	agategate demo
//	agategate help
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"agategate/io/agatecli"
	"agategate/io/agaterun"
)

func main() { os.Exit(run()) }

// run executes the command line. SIGTERM and SIGINT shut down a process
// gracefully, SIGHUP makes it reload its settings.
func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg := agaterun.Commands()
	cfg.Reload = reload
	cfg.Environ = os.Environ()
	return agatecli.Run(ctx, cfg, os.Args[1:])
}

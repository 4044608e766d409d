// Package test runs scenarios with real processes: control replicas and entry
// hosts are separate processes on loopback addresses that are killed, frozen
// and restarted. Upstreams are stand-ins in the test's own process, so that
// their runs can be counted. The scenarios are the scripts in testdata.
package test

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"agategate/io/agatecli"
	"agategate/io/agaterun"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"agategate": agategate})
}

// agategate is the command under test.
func agategate() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	cfg := agaterun.Commands()
	cfg.Environ = os.Environ()
	os.Exit(agatecli.Run(ctx, cfg, os.Args[1:]))
}

// TestProcesses guards against promises that hold in one process only. Each
// script says which failure it causes.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Cmds:                commands,
		Setup:               setup,
		RequireExplicitExec: true,
	})
}

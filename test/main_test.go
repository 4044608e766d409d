// Package test runs end-to-end scenarios with real processes. Control replicas
// and entry hosts run as separate processes on loopback addresses and are
// killed, suspended and restarted. Upstreams run inside the test process, which
// counts the requests that they execute. The scenarios are the scripts in
// testdata.
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

// agategate runs the command under test with the arguments of this process.
func agategate() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	cfg := agaterun.Commands()
	cfg.Environ = os.Environ()
	os.Exit(agatecli.Run(ctx, cfg, os.Args[1:]))
}

// TestProcesses guards against guarantees that hold only while all components
// share one process. Each script in testdata names the failure that it injects.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Cmds:                commands,
		Setup:               setup,
		RequireExplicitExec: true,
	})
}

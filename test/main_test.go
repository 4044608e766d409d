// Package test runs end-to-end tests. The scripts in testdata run control replicas
// and entry hosts as separate processes on loopback addresses, which are killed,
// suspended and restarted; upstreams run inside the test process, which counts the
// requests that they execute. The tests of the callers' interface, the tests of
// metrics and the benchmarks run all hosts inside the test process.
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
// share one process. The first comment of each script in testdata states the
// scenario and the expected behavior.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Cmds:                commands,
		Setup:               setup,
		RequireExplicitExec: true,
	})
}

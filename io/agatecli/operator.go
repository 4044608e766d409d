package agatecli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"flag"
	"fmt"
	"strings"
	"time"

	"agategate/io/agateops"
	"agategate/io/agatesettings"
)

// defaultTimeout bounds one operator command. It leaves time for an election, about
// one second, and for the activation of a change on all hosts, a few seconds.
const defaultTimeout = 30 * time.Second

// controlFlags holds the flags of commands that call control hosts.
type controlFlags struct {
	app     *app
	hosts   []string
	tls     agatesettings.TLS
	timeout time.Duration
}

func (a *app) controlFlags(fs *flag.FlagSet) *controlFlags {
	r := &controlFlags{app: a}
	fs.Func("control", "admin address of a control host, repeatable or comma separated (environment AGATEGATE_CONTROL)", func(s string) error {
		r.hosts = append(r.hosts, splitList(s)...)
		return nil
	})
	fs.StringVar(&r.tls.CA, "ca", a.env("AGATEGATE_CA"), "file with the CA certificates of control hosts, for https (environment AGATEGATE_CA)")
	fs.StringVar(&r.tls.Cert, "cert", a.env("AGATEGATE_CERT"), "file with the operator's certificate (environment AGATEGATE_CERT)")
	fs.StringVar(&r.tls.Key, "key", a.env("AGATEGATE_KEY"), "file with the operator's private key (environment AGATEGATE_KEY)")
	fs.DurationVar(&r.timeout, "timeout", defaultTimeout, "time for the whole command")
	return r
}

func splitList(s string) []string {
	var list []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

func (a *app) env(name string) string {
	for _, pair := range a.cfg.Environ {
		if key, val, _ := strings.Cut(pair, "="); key == name {
			return val
		}
	}
	return ""
}

// newClient returns a client and a context with the command's timeout.
func (r *controlFlags) newClient(ctx context.Context) (*agateops.Client, context.Context, context.CancelFunc, error) {
	hosts := r.hosts
	if len(hosts) == 0 {
		hosts = splitList(r.app.env("AGATEGATE_CONTROL"))
	}
	if len(hosts) == 0 {
		return nil, nil, nil, usagef("name the control hosts with --control or AGATEGATE_CONTROL")
	}
	var tlsCfg *tls.Config
	if r.tls.CA != "" || r.tls.Cert != "" || r.tls.Key != "" {
		var err error
		if tlsCfg, err = r.tls.Config(); err != nil {
			return nil, nil, nil, err
		}
	}
	client, err := agateops.NewClient(agateops.ClientConfig{Hosts: hosts, TLS: tlsCfg})
	if err != nil {
		return nil, nil, nil, usagef("%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	return client, ctx, cancel, nil
}

// operatorFunc implements a command that calls control hosts.
type operatorFunc func(ctx context.Context, client *agateops.Client, args []string) error

// exec returns a command function that checks the arguments and calls run with a
// client and the command's timeout.
func (r *controlFlags) exec(check func(args []string) error, run operatorFunc) func(ctx context.Context, args []string) error {
	return func(ctx context.Context, args []string) error {
		if err := check(args); err != nil {
			return err
		}
		client, ctx, cancel, err := r.newClient(ctx)
		if err != nil {
			return err
		}
		defer cancel()
		return run(ctx, client, args)
	}
}

// oneArg returns a check for exactly one argument that fails with text.
func oneArg(text string) func(args []string) error {
	return func(args []string) error {
		if len(args) != 1 {
			return usagef("%s", text)
		}
		return nil
	}
}

// newChangeID returns a random, globally unique change id.
func newChangeID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never returns an error; the runtime ends the process instead
	return hex.EncodeToString(b[:])
}

func (a *app) stderrf(format string, args ...any) {
	fmt.Fprintf(a.cfg.Stderr, format, args...)
}

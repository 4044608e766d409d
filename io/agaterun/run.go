// Package agaterun runs the processes of the command line. It sets up logs,
// metrics and TLS from the settings, starts the process and shuts it down
// gracefully when its context ends.
//
// # Usage
//
//	code := agatecli.Run(ctx, agaterun.Commands(), os.Args[1:])
package agaterun

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"agategate/internal/agatebuffer"
	"agategate/internal/agatebuild"
	"agategate/io/agatecli"
	"agategate/io/agatecontrol"
	"agategate/io/agatedemo"
	"agategate/io/agateentry"
	"agategate/io/agatelog"
	"agategate/io/agatemetrics"
	"agategate/io/agatesettings"
)

// Commands returns a command line configuration whose commands run the real
// processes. The caller sets Environ and, if needed, Reload and the output
// streams.
func Commands() agatecli.Config {
	var r runner
	return agatecli.Config{
		Entry:         r.entry,
		Control:       r.control,
		Demo:          agatedemo.Run,
		ReloadEntry:   r.reloadEntry,
		ReloadControl: r.reloadControl,
	}
}

// runner holds the state that a reload of the settings changes.
type runner struct {
	log atomic.Pointer[agatelog.Log]
	// grace is the maximum duration of a graceful shutdown, in nanoseconds.
	grace atomic.Int64
}

func (r *runner) openLog(name string, s agatesettings.Log) *agatelog.Log {
	log := agatelog.New(agatelog.Config{
		Name:      name,
		Level:     s.Level,
		JSON:      s.Format == "json",
		SkipRatio: 1 - s.Sample,
		RingSize:  s.Ring,
	})
	r.log.Store(log)
	log.Logger().Info("process starts", "kind", "start", "build", agatebuild.Read(), "arch", runtime.GOARCH)
	return log
}

func (r *runner) reloadLog(s agatesettings.Log) {
	if log := r.log.Load(); log != nil {
		log.SetLevel(s.Level)
		log.SetSkipRatio(1 - s.Sample)
	}
}

func (r *runner) reloadEntry(s agatesettings.Entry) {
	r.reloadLog(s.Log)
	r.grace.Store(int64(s.Grace))
}

func (r *runner) reloadControl(s agatesettings.Control) {
	r.reloadLog(s.Log)
	r.grace.Store(int64(s.Grace))
}

// tlsConfig returns the TLS configuration for servers and clients. If TLS is
// disabled, it logs a warning and returns nil.
func tlsConfig(log *agatelog.Log, s agatesettings.TLS) (*tls.Config, error) {
	cfg, err := s.Config()
	if errors.Is(err, agatesettings.ErrInsecure) {
		log.Logger().Warn("connections between own processes and of operators are not encrypted", "key", "tls.insecure")
		return nil, nil
	}
	return cfg, err
}

// entry runs an entry process until ctx ends, then shuts it down gracefully.
func (r *runner) entry(ctx context.Context, s agatesettings.Entry) error {
	log := r.openLog(s.Name, s.Log)
	agatebuffer.SetProcessMemory(int64(s.Limit.Memory))
	r.grace.Store(int64(s.Grace))
	tlsCfg, err := tlsConfig(log, s.TLS)
	if err != nil {
		return err
	}
	e, err := agateentry.Start(agateentry.Config{
		Settings:  s,
		Log:       log,
		Metrics:   agatemetrics.New(agatemetrics.Config{}),
		ServerTLS: tlsCfg,
		ClientTLS: tlsCfg,
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return r.stop(e.Stop)
}

// control runs a control replica until ctx ends, then shuts it down gracefully.
// It returns an error if the replica fails.
func (r *runner) control(ctx context.Context, s agatesettings.Control) error {
	log := r.openLog(s.Name, s.Log)
	agatebuffer.SetProcessMemory(int64(s.Limit.Memory))
	r.grace.Store(int64(s.Grace))
	tlsCfg, err := tlsConfig(log, s.TLS)
	if err != nil {
		return err
	}
	c, err := agatecontrol.Start(agatecontrol.Config{
		Settings:  s,
		Logger:    log.Logger(),
		Metrics:   agatemetrics.New(agatemetrics.Config{}),
		ServerTLS: tlsCfg,
		ClientTLS: tlsCfg,
		AdminTLS:  tlsCfg,
	})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return r.stop(c.Stop)
	case <-c.Failed():
		err := c.Fault()
		_ = r.stop(c.Stop)
		return fmt.Errorf("agaterun: replica stopped: %w", err)
	}
}

// stop calls shutdown with a timeout of the grace period.
func (r *runner) stop(shutdown func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.grace.Load()))
	defer cancel()
	return shutdown(ctx)
}

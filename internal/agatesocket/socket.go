// Package agatesocket sets the socket options that find dead connections
// early.
//
// A connection can go silent for good while new ones work, because a device
// between the two ends has forgotten it. The operating system's defaults
// notice this after many minutes.
package agatesocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Defaults of Config.
const (
	DefaultConnect     = time.Second
	DefaultUnconfirmed = 2 * time.Second
	probeInterval      = time.Second
	probeCount         = 3
)

// Config sets up a dialer.
type Config struct {
	// Connect bounds the time to open a connection. The default is 1 s.
	Connect time.Duration
	// Unconfirmed is how long sent data may stay unacknowledged before the
	// connection fails. The default is 2 s.
	Unconfirmed time.Duration
}

// Dialer returns a dialer whose connections fail early when the other end has
// gone silent.
func Dialer(cfg Config) *net.Dialer {
	if cfg.Connect <= 0 {
		cfg.Connect = DefaultConnect
	}
	if cfg.Unconfirmed <= 0 {
		cfg.Unconfirmed = DefaultUnconfirmed
	}
	return &net.Dialer{
		Timeout: cfg.Connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, cfg.Unconfirmed)
		},
	}
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

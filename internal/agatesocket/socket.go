// Package agatesocket sets socket options that detect dead TCP connections
// early.
//
// A connection can stop working permanently while new ones work, for example
// because a NAT device or firewall in between has lost its state. With the
// defaults of the operating system, this is detected only after many minutes.
package agatesocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Defaults of Config, and the parameters of keep-alive probes.
const (
	DefaultConnectTimeout = time.Second
	DefaultTCPUserTimeout = 2 * time.Second

	// Keep-alive probes start after keepAliveInterval without traffic and repeat
	// at this interval. The connection fails after keepAliveCount unanswered
	// probes.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Config configures a dialer.
type Config struct {
	// ConnectTimeout limits the time to establish a connection. The default is
	// 1 s.
	ConnectTimeout time.Duration
	// TCPUserTimeout is the time for which sent data may remain unacknowledged
	// before the connection fails (TCP_USER_TIMEOUT). The default is 2 s.
	TCPUserTimeout time.Duration
}

// NewDialer returns a dialer whose connections fail early when the peer stops
// responding.
func NewDialer(cfg Config) *net.Dialer {
	if cfg.ConnectTimeout <= 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.TCPUserTimeout <= 0 {
		cfg.TCPUserTimeout = DefaultTCPUserTimeout
	}
	return &net.Dialer{
		Timeout: cfg.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setTCPUserTimeout(c, cfg.TCPUserTimeout)
		},
	}
}

func setTCPUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

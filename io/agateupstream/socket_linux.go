package agateupstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeoutControl returns a dialer control that limits how long written
// bytes may stay unacknowledged.
func userTimeoutControl(d time.Duration) func(network, address string, rc syscall.RawConn) error {
	return func(_, _ string, rc syscall.RawConn) error {
		var failed error
		err := rc.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// socketQuiet reports whether a socket is open with nothing to read.
func socketQuiet(tcp *net.TCPConn) bool {
	rc, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

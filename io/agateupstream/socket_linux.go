package agateupstream

import (
	"net"

	"golang.org/x/sys/unix"
)

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

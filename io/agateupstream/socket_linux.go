package agateupstream

import (
	"net"

	"golang.org/x/sys/unix"
)

// socketUsable reports whether a socket is open and has no unread bytes.
func socketUsable(tcp *net.TCPConn) bool {
	rc, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN
	})
	return err == nil && usable
}

// Package sock asks the kernel about TCP connections.
package sock

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Peek returns the number of bytes, at most 1, that wait to be read from a connection, and leaves them there. It doesn't
// block: with an open connection without input the error is syscall.EAGAIN. 0 without an error means that the peer has
// ended its sending side.
func Peek(c syscall.Conn) (int, error) {
	var n int
	var peekErr error
	err := control(c, func(fd int) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
}

// Read reads what waits to be read from a connection. It doesn't block, as Peek.
func Read(c syscall.Conn, b []byte) (int, error) {
	var n int
	var readErr error
	err := control(c, func(fd int) {
		n, _, readErr = syscall.Recvfrom(fd, b, syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), readErr
}

// Unacknowledged returns the number of sent bytes that the peer has not acknowledged, the end of the connection included.
func Unacknowledged(c syscall.Conn) (int, error) {
	var n int
	var ioctlErr error
	err := control(c, func(fd int) {
		n, ioctlErr = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	})
	if err != nil {
		return 0, err
	}
	return n, ioctlErr
}

// control calls f with the descriptor of a connection. Its error means that the connection is closed.
func control(c syscall.Conn, f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// SinceData returns the time since the kernel received the latest data of a TCP connection, read or not, in the
// resolution of its timer (1 to 10 ms). 0 means less than that, or that this kernel doesn't tell.
func SinceData(c syscall.Conn) (time.Duration, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	i, err := Info(raw)
	if err != nil {
		return 0, err
	}
	return time.Duration(i.Last_data_recv) * time.Millisecond, nil
}

// Info returns what the kernel knows of a TCP connection. The error is a syscall.Errno if it doesn't tell; another one
// means that the connection is closed.
func Info(c syscall.RawConn) (*unix.TCPInfo, error) {
	var i *unix.TCPInfo
	var infoErr error
	err := c.Control(func(fd uintptr) {
		i, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err
	}
	return i, infoErr
}

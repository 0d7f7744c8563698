package netconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastData returns the time since the kernel last received data on a connection, in milliseconds. It returns 0 if
// the time is not known.
func SinceLastData(conn net.Conn) (ms float64) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ms = float64(info.Last_data_recv)
		}
	})
	return ms
}

// Millis converts a number of milliseconds to a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

package callerconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sinceReceived returns how long ago the operating system received the last bytes of a connection, and zero if that is not
// known. While the process has no processor, or does not accept connections, bytes wait in the socket.
func sinceReceived(conn net.Conn) time.Duration {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	controlled := raw.Control(func(descriptor uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlled != nil || err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

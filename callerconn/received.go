package callerconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// sinceReceived returns how long ago the operating system received the last bytes of a connection, and zero if that is not
// known. While the process has no processor, or does not accept connections, bytes wait in the socket.
func sinceReceived(conn net.Conn) time.Duration {
	var info *unix.TCPInfo
	known := control(conn, func(descriptor int) (err error) {
		info, err = unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if !known {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

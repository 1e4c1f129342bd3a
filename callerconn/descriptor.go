package callerconn

import (
	"net"
	"syscall"
)

// control calls a function with the descriptor of a connection's socket. It reports false if there is none, or if the function fails.
func control(conn net.Conn, call func(descriptor int) error) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var failed error
	err = raw.Control(func(descriptor uintptr) { failed = call(int(descriptor)) })
	return err == nil && failed == nil
}

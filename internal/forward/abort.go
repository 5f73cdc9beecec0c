package forward

import (
	"net"
	"net/http"
	"syscall"
)

// abortResponse ends a response that can't be completed, so that it does not look complete, and does not
// return. Chunks without their end, or less than the length, show that on HTTP/1.1. A response on HTTP/1.0
// may have neither, and ends with its connection, which is therefore reset.
func (r *request) abortResponse() {
	if !r.incoming.ProtoAtLeast(1, 1) {
		if connection, _, err := r.controller.Hijack(); err == nil {
			reset(connection)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection with a reset in place of an end.
func reset(connection net.Conn) {
	defer connection.Close()
	system, isSystem := connection.(syscall.Conn)
	if !isSystem {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptLinger(int(descriptor), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0})
	})
}

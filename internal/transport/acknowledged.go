package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the bytes that were written to a TCP connection and that the other machine
// has not acknowledged, if some of them are in flight: bytes that only wait for a receiver that does
// not read are not counted. It returns false if the connection can't tell.
func Unacknowledged(connection net.Conn) (bytes int, isKnown bool) {
	raw, isSystem := RawConnection(connection)
	if !isSystem {
		return 0, false
	}
	err := raw.Control(func(descriptor uintptr) {
		information, failure := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if failure != nil {
			return
		}
		isKnown = true
		if information.Unacked > 0 {
			bytes, failure = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
			isKnown = failure == nil
		}
	})
	return bytes, isKnown && err == nil
}

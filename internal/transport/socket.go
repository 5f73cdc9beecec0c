package transport

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of <netinet/tcp.h>, which package syscall
// does not define.
const tcpUserTimeout = 0x12

// SetUserTimeout returns a net.Dialer's Control function that makes a connection
// fail once sent data has been unacknowledged for the timeout. Without it, a connection
// would not notice a partition, which causes no error by itself.
func SetUserTimeout(timeout time.Duration) func(network, address string, connection syscall.RawConn) error {
	return func(_, _ string, connection syscall.RawConn) error {
		var failure error
		err := connection.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}

package transport

import (
	"io"
	"net"
	"testing"
)

// BenchmarkStreamPiece measures the processor time of both ends of a stream for a short event and for a
// whole piece.
func BenchmarkStreamPiece(b *testing.B) {
	for name, size := range map[string]int{"event": 100, "piece": maximumPieceBytes} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer listener.Close()
			go func() {
				accepted, err := listener.Accept()
				if err == nil {
					_, _ = io.Copy(io.Discard, newStream(accepted, newFrameAuthenticator(sharedKey), nil))
				}
			}()
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer connection.Close()
			sender := newStream(connection, nil, newFrameAuthenticator(sharedKey))
			data := make([]byte, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := sender.Write(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// nonceBytes is the length of each side's random contribution.
const nonceBytes = 32

// Errors of handshakes.
var (
	// ErrUnauthenticated is returned if the other side could not prove that it holds the shared key.
	ErrUnauthenticated = errors.New("transport: the other side does not hold the shared peer key")
	// ErrUnknownPeer is returned if the other side's name is not in the settings.
	ErrUnknownPeer = errors.New("transport: the other side's name is not a configured peer")
)

// clientHello is the first message of a handshake.
type clientHello struct {
	Version int    `msgpack:"v"`
	From    string `msgpack:"f"`
	To      string `msgpack:"t"`
	Nonce   []byte `msgpack:"n"`
	// Stream requests a Stream; otherwise the connection carries frames to the server only.
	Stream bool `msgpack:"s,omitempty"`
}

// serverHello is the response to a clientHello. It proves that the server holds the key.
type serverHello struct {
	Nonce []byte `msgpack:"n"`
	Proof []byte `msgpack:"p"`
}

// clientProof proves that the client holds the key. Both nonces are part of the proof,
// so a recorded handshake can't be replayed.
type clientProof struct {
	Proof []byte `msgpack:"p"`
}

// transcript holds the values of a handshake that both sides' proofs cover. The key of the frames
// of a connection is derived from it, too.
type transcript struct {
	// key is the shared peer key.
	key         []byte
	client      clientHello
	serverNonce []byte
}

func (t transcript) code(purpose string) []byte {
	mac := hmac.New(sha256.New, t.key)
	for _, part := range [][]byte{[]byte(purpose), []byte(t.client.From), []byte(t.client.To), t.client.Nonce, t.serverNonce} {
		fmt.Fprintf(mac, "%d:", len(part))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(nonce)
	return nonce
}

// connectionUse is what a connection is used for.
type connectionUse struct {
	isStream bool
	// clientProof and clientKey are the purposes of the client's proof and of the key of its frames.
	// They differ, so that a connection can't be turned into one of another use on its way.
	clientProof, clientKey string
}

// serverKey is the purpose of the key of the server's frames; only streams have any.
const serverKey = "stream response"

var (
	forFrames = connectionUse{clientProof: "client", clientKey: "session"}
	forStream = connectionUse{isStream: true, clientProof: "stream client", clientKey: "stream"}
)

// handshakeKeys are the authenticators of a connection's frames.
type handshakeKeys struct {
	// outgoing is nil at the server of a connection that carries frames to it only, incoming at its
	// client.
	incoming, outgoing *frameAuthenticator
	isStream           bool
}

// dialHandshake authenticates an outgoing connection and returns the authenticators of its frames.
func dialHandshake(connection net.Conn, key []byte, self, other string, use connectionUse) (handshakeKeys, error) {
	hello := clientHello{Version: peer.HandshakeVersion, From: self, To: other, Nonce: newNonce(), Stream: use.isStream}
	if err := writeMessage(connection, &hello); err != nil {
		return handshakeKeys{}, err
	}
	var response serverHello
	if err := readMessage(connection, &response); err != nil {
		return handshakeKeys{}, err
	}
	seen := transcript{key: key, client: hello, serverNonce: response.Nonce}
	if !hmac.Equal(response.Proof, seen.code("server")) {
		return handshakeKeys{}, ErrUnauthenticated
	}
	if err := writeMessage(connection, &clientProof{Proof: seen.code(use.clientProof)}); err != nil {
		return handshakeKeys{}, err
	}
	keys := handshakeKeys{outgoing: newFrameAuthenticator(seen.code(use.clientKey)), isStream: use.isStream}
	if use.isStream {
		keys.incoming = newFrameAuthenticator(seen.code(serverKey))
	}
	return keys, nil
}

// acceptHandshake authenticates an incoming connection and returns the name of the other side and
// the authenticators of its frames.
func acceptHandshake(connection net.Conn, key []byte, self string, known func(string) bool) (string, handshakeKeys, error) {
	var hello clientHello
	if err := readMessage(connection, &hello); err != nil {
		return "", handshakeKeys{}, err
	}
	if hello.Version != peer.HandshakeVersion || hello.To != self || len(hello.Nonce) != nonceBytes {
		return "", handshakeKeys{}, fmt.Errorf("%w: received a hello of version %d for node %q", ErrUnauthenticated, hello.Version, hello.To)
	}
	if !known(hello.From) {
		return "", handshakeKeys{}, fmt.Errorf("%w: %q", ErrUnknownPeer, hello.From)
	}
	if err := checkCertificate(connection, hello.From); err != nil {
		return "", handshakeKeys{}, err
	}
	use := forFrames
	if hello.Stream {
		use = forStream
	}
	seen := transcript{key: key, client: hello, serverNonce: newNonce()}
	if err := writeMessage(connection, &serverHello{Nonce: seen.serverNonce, Proof: seen.code("server")}); err != nil {
		return "", handshakeKeys{}, err
	}
	var proof clientProof
	if err := readMessage(connection, &proof); err != nil {
		return "", handshakeKeys{}, err
	}
	if !hmac.Equal(proof.Proof, seen.code(use.clientProof)) {
		return "", handshakeKeys{}, ErrUnauthenticated
	}
	keys := handshakeKeys{incoming: newFrameAuthenticator(seen.code(use.clientKey)), isStream: use.isStream}
	if use.isStream {
		keys.outgoing = newFrameAuthenticator(seen.code(serverKey))
	}
	return hello.From, keys, nil
}

// checkCertificate verifies that a TLS client's certificate contains the name that it claims.
func checkCertificate(connection net.Conn, name string) error {
	secured, isTLS := connection.(*tls.Conn)
	if !isTLS {
		return nil
	}
	if err := secured.Handshake(); err != nil {
		return err
	}
	certificates := secured.ConnectionState().PeerCertificates
	if len(certificates) == 0 || !slices.Contains(certificates[0].DNSNames, name) {
		return fmt.Errorf("%w: the certificate is not for %q", ErrUnauthenticated, name)
	}
	return nil
}

func writeMessage(connection net.Conn, message any) error {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	return writePlain(connection, payload)
}

func readMessage(connection net.Conn, message any) error {
	payload, err := readPlain(connection)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(payload, message); err != nil {
		return fmt.Errorf("%w: %v", ErrUnauthenticated, err)
	}
	return nil
}

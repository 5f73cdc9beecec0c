package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/transport"
)

const (
	// maximumRelaysAsked bounds the peers that are asked for one connection.
	maximumRelaysAsked = 6
	// relayHedgeDelay is how long a peer's response is awaited before another peer is asked, too: a
	// peer that has just crashed or been partitioned does not respond at all.
	relayHedgeDelay = 100 * time.Millisecond
	// engineRefusalsNeeded is the number of peers whose connections an engine has to refuse to count
	// as ended: peers of this node's zone may be in the same partition, and the third one that is
	// asked is of another zone.
	engineRefusalsNeeded = 3
)

// errRelayRefused means that a peer does not relay the connection.
var errRelayRefused = errors.New("gateway: the peer does not relay the connection")

// relaySearch asks peers, one after the other, to relay one connection.
type relaySearch struct {
	paths   *enginePaths
	request peer.RelayRequest
	asked   []string
	running int
	results chan relayAnswer
	// over is closed when the search has ended.
	over chan struct{}
	// refusals counts the answers of each kind; silent those of peers that did not respond.
	refusals map[peer.RelayRefusal]int
	silent   int
}

// relayAnswer is one peer's answer.
type relayAnswer struct {
	connection *relayedConnection
	refusal    peer.RelayRefusal
	err        error
}

// run returns the first connection that a peer opens.
func (s *relaySearch) run(ctx context.Context) (*relayedConnection, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.results, s.over, s.refusals = make(chan relayAnswer), make(chan struct{}), map[peer.RelayRefusal]int{}
	defer close(s.over)
	encoded, err := peer.EncodeStreamMessage(&s.request)
	if err != nil {
		return nil, err
	}
	for s.askNext(ctx, encoded) || s.running > 0 {
		hedge := time.NewTimer(relayHedgeDelay)
		select {
		case answer := <-s.results:
			s.running--
			if answer.connection != nil {
				hedge.Stop()
				return answer.connection, nil
			}
			s.record(answer)
		case <-hedge.C:
		case <-ctx.Done():
			hedge.Stop()
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil, ctx.Err()
			}
			s.silent += s.running
			return nil, s.failure()
		}
		hedge.Stop()
	}
	return nil, s.failure()
}

// askNext asks another peer; false means that there is none, or no need to ask one.
func (s *relaySearch) askNext(ctx context.Context, encoded []byte) bool {
	if len(s.asked) >= maximumRelaysAsked || s.refusals[peer.RelayEngineRefused] >= engineRefusalsNeeded {
		return false
	}
	chosen, found := s.paths.peers.Choose(s.paths.node.now(), s.request.Address, s.asked)
	if !found {
		return false
	}
	s.asked = append(s.asked, chosen)
	s.running++
	go func() {
		answer := s.ask(ctx, chosen, encoded)
		if answer.connection == nil {
			s.paths.peers.Release(chosen)
		}
		select {
		case s.results <- answer:
		case <-s.over:
			if answer.connection != nil {
				_ = answer.connection.Close()
			}
		}
	}()
	return true
}

// ask asks one peer.
func (s *relaySearch) ask(ctx context.Context, address string, encoded []byte) relayAnswer {
	node := s.paths.node
	stream, encodedResponse, err := node.mesh.OpenStream(ctx, address, encoded)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.paths.peers.Avoid(node.now(), address, enginepath.PeerSilent)
		}
		return relayAnswer{err: err}
	}
	response, err := peer.DecodeStreamMessage[peer.RelayResponse](encodedResponse)
	if err == nil && response.Refusal == peer.RelayAccepted {
		s.paths.peers.Prove(node.now(), address)
		return relayAnswer{connection: newRelayedConnection(stream, s.paths, address)}
	}
	_ = stream.Close()
	if err != nil {
		return relayAnswer{err: err}
	}
	s.noteRefusal(address, response.Refusal)
	return relayAnswer{refusal: response.Refusal, err: fmt.Errorf("%w: %s: %s, known for %d ms", errRelayRefused, address, response.Refusal, response.AgeMS)}
}

// noteRefusal keeps a peer from being asked again while its refusal probably holds.
func (s *relaySearch) noteRefusal(address string, refusal peer.RelayRefusal) {
	now, peers := s.paths.node.now(), s.paths.peers
	switch refusal {
	case peer.RelayNoPath:
		peers.Avoid(now, address, enginepath.PeerLost)
	case peer.RelayStopping:
		peers.Avoid(now, address, enginepath.PeerStopping)
	case peer.RelayBusy, peer.RelayInvalid:
		peers.Avoid(now, address, enginepath.PeerBusy)
	default:
		peers.AvoidFor(now, address, s.request.Address)
	}
}

func (s *relaySearch) record(answer relayAnswer) {
	if answer.refusal == "" {
		s.silent++
		return
	}
	s.refusals[answer.refusal]++
}

// failure returns the error of a search in which no peer has opened a connection.
func (s *relaySearch) failure() error {
	switch {
	case s.refusals[peer.RelayEngineRefused] > 0 && s.refusals[peer.RelayUnreachable] == 0:
		return fmt.Errorf("%w by the engine at %s to %d relays", syscall.ECONNREFUSED, s.request.Address, s.refusals[peer.RelayEngineRefused])
	case s.refusals[peer.RelayEngineRefused]+s.refusals[peer.RelayUnreachable] > 0:
		return fmt.Errorf("%w: %d peers don't reach the engine", errRelayRefused, s.refusals[peer.RelayEngineRefused]+s.refusals[peer.RelayUnreachable])
	case s.refusals[peer.RelayNoPath] > 0:
		return fmt.Errorf("%w: %d peers have lost their paths to engines", errRelayRefused, s.refusals[peer.RelayNoPath])
	}
	return fmt.Errorf("%w: %d peers asked, %d did not respond", forward.ErrNoRelay, len(s.asked), s.silent)
}

// outcome returns what the search indicates.
func (s *relaySearch) outcome(err error) enginepath.RelayOutcome {
	switch {
	case err == nil:
		return enginepath.Relayed
	case s.refusals[peer.RelayEngineRefused]+s.refusals[peer.RelayUnreachable] > 0:
		return enginepath.EngineUnreachable
	case s.refusals[peer.RelayNoPath] > 0:
		return enginepath.PeersLost
	}
	return enginepath.NoRelay
}

// relayedConnection is a connection to an engine through a peer.
type relayedConnection struct {
	*transport.Stream
	paths *enginePaths
	relay string
	// closed releases the connection at the peers once.
	closed sync.Once
	// written is the number of bytes that were written, and received how many of them the engine's machine had received
	// at the end of its data; unreported before the relay reports it.
	written, received atomic.Int64
}

const (
	// unreported stands for a number of received bytes that the relay has not reported.
	unreported = -1
	// maximumUnconfirmedBytes bounds a request whose engine may have ended the connection without the relay's report,
	// which earlier builds don't send: so few bytes are written at once, and no write takes the error of a reset from
	// the relay's read.
	maximumUnconfirmedBytes = 4 << 10
)

// newRelayedConnection returns the connection that a peer has opened.
func newRelayedConnection(stream *transport.Stream, paths *enginePaths, relay string) *relayedConnection {
	opened := &relayedConnection{Stream: stream, paths: paths, relay: relay}
	opened.received.Store(unreported)
	stream.OnSignal(opened.noteEnd)
	return opened
}

// noteEnd records the relay's report on the end of the engine's data.
func (c *relayedConnection) noteEnd(encoded []byte) {
	if end, err := peer.DecodeStreamMessage[peer.RelayEnd](encoded); err == nil {
		c.received.Store(end.Received)
	}
}

// Write implements net.Conn.
func (c *relayedConnection) Write(from []byte) (int, error) {
	written, err := c.Stream.Write(from)
	c.written.Add(int64(written))
	return written, err
}

// ConfirmEnd implements transport.EndConfirmer.
func (c *relayedConnection) ConfirmEnd(context.Context) error {
	written, received := c.written.Load(), c.received.Load()
	if received == written || received == unreported && written <= maximumUnconfirmedBytes {
		return nil
	}
	return fmt.Errorf("%w: the relay reports %d of %d bytes", transport.ErrUnacknowledged, received, written)
}

// Close implements net.Conn.
func (c *relayedConnection) Close() error {
	c.closed.Do(func() { c.paths.peers.Release(c.relay) })
	return c.Stream.Close()
}

// Relay implements forward.RelayedConnection.
func (c *relayedConnection) Relay() string { return c.relay }

// ReportSignal implements forward.RelayedConnection.
func (c *relayedConnection) ReportSignal(request string, signal backoff.Signal) {
	encoded, err := peer.EncodeStreamMessage(&peer.RelaySignal{
		Request: request, PauseMS: signal.Pause.Milliseconds(), IsLeaving: signal.IsLeaving, HasRun: signal.HasRun,
	})
	if err == nil {
		err = c.Signal(encoded)
	}
	if err != nil {
		c.paths.node.log.Warn().Str("event", "relay_signal_not_sent").Str("relay", c.relay).Err(err).Send()
	}
}

// ReportSilence implements forward.RelayedConnection.
func (c *relayedConnection) ReportSilence() {
	c.paths.peers.Avoid(c.paths.node.now(), c.relay, enginepath.PeerSilent)
}

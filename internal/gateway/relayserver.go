package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/transport"
)

const (
	// relayMemoryShare is the share of the process's memory that relays may occupy, of
	// relayMemoryBytes each: the buffers and stacks of both directions.
	relayMemoryShare = 0.05
	relayMemoryBytes = 48 << 10
	// maximumRelays bounds the relays regardless of the memory: each one takes two descriptors.
	maximumRelays    = 512
	relayBufferBytes = 8 << 10
	// relayLingerTime is how long a relay whose engine has closed the connection still reads from
	// the other node: closing with unread bytes would discard the end of the response on its way.
	relayLingerTime = time.Second
	// attemptMemory is for how long a failed attempt of this node's own answers for another one.
	attemptMemory = time.Second
	// relayLinesPerSecond limits the log lines on relays. Omitted lines are counted.
	relayLinesPerSecond = 10
)

var (
	relaysActive       = metrics.GetOrCreateGauge("ravenway_relays_active", nil)
	relayBytesToEngine = metrics.GetOrCreateCounter(`ravenway_relay_bytes_total{to="engine"}`)
	relayBytesToNode   = metrics.GetOrCreateCounter(`ravenway_relay_bytes_total{to="node"}`)
	relaySignals       = metrics.GetOrCreateCounter("ravenway_relay_signals_total")
)

// relayServer relays connections to engines for other entry nodes that have lost their own paths to
// them. It connects only to live instances that this node's registry lists, and only directly.
type relayServer struct {
	node   *Node
	active atomic.Int64
	lines  *forward.LineBudget
}

func newRelayServer(node *Node) *relayServer {
	return &relayServer{node: node, lines: forward.NewLineBudget(relayLinesPerSecond)}
}

// maximum returns how many connections this node relays at the same time.
func (s *relayServer) maximum() int64 {
	memory := s.node.settings.Load().Limits.MemoryMB
	if memory <= 0 {
		return maximumRelays
	}
	return min(maximumRelays, int64(relayMemoryShare*float64(memory)*bytesPerMB)/relayMemoryBytes)
}

// handle serves a stream that another node has opened.
func (s *relayServer) handle(from string, encoded []byte, stream *transport.Stream) {
	request, err := peer.DecodeStreamMessage[peer.RelayRequest](encoded)
	if err != nil {
		s.refuse(from, stream, request, peer.RelayResponse{Refusal: peer.RelayInvalid})
		return
	}
	relaysActive.Set(float64(s.active.Add(1)))
	defer func() { relaysActive.Set(float64(s.active.Add(-1))) }()
	incarnation := registry.Incarnation{ID: request.Instance, StartedAt: request.StartedAt}
	if refused := s.check(incarnation, request.Address); refused.Refusal != peer.RelayAccepted {
		s.refuse(from, stream, request, refused)
		return
	}
	engine, refused := s.dial(request.Address)
	if refused.Refusal != peer.RelayAccepted {
		s.refuse(from, stream, request, refused)
		return
	}
	defer engine.Close()
	stream.OnSignal(func(signal []byte) { s.learn(from, incarnation, signal) })
	if s.respond(stream, peer.RelayResponse{}) != nil {
		return
	}
	s.count(peer.RelayAccepted)
	relayBytes(stream, engine)
}

// check decides whether a connection to an incarnation of an engine is relayed.
func (s *relayServer) check(incarnation registry.Incarnation, address string) peer.RelayResponse {
	now := s.node.now()
	lostFor, isLost := s.node.paths.tracker.Loss(now)
	outcome, age := s.node.paths.tracker.Unreachable(now, address)
	instance, isListed := s.node.table.Instance(incarnation)
	status := s.node.backoff.tracker.Status(now, incarnation)
	switch {
	case s.node.isStopping():
		return peer.RelayResponse{Refusal: peer.RelayStopping}
	case !isListed || instance.Address != address || instance.HasEnded():
		return peer.RelayResponse{Refusal: peer.RelayUnknownInstance}
	case isLost:
		return peer.RelayResponse{Refusal: peer.RelayNoPath, AgeMS: lostFor.Milliseconds()}
	case s.active.Load() > s.maximum() || s.node.link.shedding.Load() || s.node.link.busy.Load():
		return peer.RelayResponse{Refusal: peer.RelayBusy}
	case status.Phase != backoff.Open:
		return peer.RelayResponse{Refusal: peer.RelayPaused}
	case outcome == enginepath.Silent && age < attemptMemory:
		return peer.RelayResponse{Refusal: peer.RelayUnreachable, AgeMS: age.Milliseconds()}
	case outcome == enginepath.Refused && age < attemptMemory:
		return peer.RelayResponse{Refusal: peer.RelayEngineRefused, AgeMS: age.Milliseconds()}
	}
	return peer.RelayResponse{}
}

// dial connects to an engine directly.
func (s *relayServer) dial(address string) (transport.EndConfirmer, peer.RelayResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), forward.DialTimeout)
	defer cancel()
	startedAt := time.Now()
	engine, err := s.node.pipeline.DialEngine(ctx, address)
	outcome := forward.DialOutcome(err)
	s.node.paths.RecordDial(address, outcome, time.Since(startedAt))
	switch {
	case err == nil:
		return engine, peer.RelayResponse{}
	case outcome == enginepath.Refused:
		return nil, peer.RelayResponse{Refusal: peer.RelayEngineRefused}
	}
	return nil, peer.RelayResponse{Refusal: peer.RelayUnreachable}
}

func (s *relayServer) respond(stream *transport.Stream, response peer.RelayResponse) error {
	encoded, err := peer.EncodeStreamMessage(&response)
	if err != nil {
		return err
	}
	return stream.Respond(encoded)
}

// refuse sends, counts and logs a refusal.
func (s *relayServer) refuse(from string, stream *transport.Stream, request peer.RelayRequest, refused peer.RelayResponse) {
	s.count(refused.Refusal)
	err := s.respond(stream, refused)
	if s.lines.Take() {
		s.node.log.Info().Str("event", "relay_refused").Str("peer", from).Str("instance", request.Instance).Str("address", request.Address).
			Str("reason", string(refused.Refusal)).Int64("age_ms", refused.AgeMS).Int64("active", s.active.Load()).
			Int("lines_left_out", s.lines.TakeOmitted()).AnErr("error", err).Send()
	}
}

func (s *relayServer) count(refusal peer.RelayRefusal) {
	result := string(refusal)
	if refusal == peer.RelayAccepted {
		result = "accepted"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_relay_requests_total{result=%q}", result)).Inc()
}

// learn applies a signal of an engine's response: the engine knows the request by this node's
// machine, so what it asks for concerns this node, too.
func (s *relayServer) learn(from string, incarnation registry.Incarnation, encoded []byte) {
	signal, err := peer.DecodeStreamMessage[peer.RelaySignal](encoded)
	instance, isListed := s.node.table.Instance(incarnation)
	if err != nil || signal.PauseMS < 0 || !isListed {
		if s.lines.Take() {
			s.node.log.Warn().Str("event", "relay_signal_refused").Str("peer", from).Stringer("life", incarnation).Err(err).Send()
		}
		return
	}
	relaySignals.Inc()
	pause := time.Duration(min(signal.PauseMS, backoff.MaximumPause.Milliseconds())) * time.Millisecond
	s.node.backoff.Learn(instance, signal.Request, backoff.Signal{Pause: pause, IsLeaving: signal.IsLeaving, HasRun: signal.HasRun}, time.Now())
}

// relayBytes copies the bytes between a node and an engine until one of them closes the connection.
func relayBytes(stream *transport.Stream, engine transport.EndConfirmer) {
	var copying sync.WaitGroup
	offered := &offeredBytes{to: engine}
	copying.Go(func() {
		if err := copyCounted(offered, stream, relayBytesToEngine); err == nil || !isWriteError(err) {
			// The node has ended the connection or is gone: closing it frees the engine.
			_ = engine.Close()
			return
		}
		_, _ = io.Copy(io.Discard, onlyReader{stream})
	})
	err := copyCounted(stream, engine, relayBytesToNode)
	if err == nil {
		err = confirmRelayedEnd(stream, engine, &offered.count)
	}
	if err == nil {
		err = stream.CloseWrite()
	} else {
		// Without an end, the response does not look complete at the other node.
		err = errors.Join(stream.AbortWrite(), engine.Close())
	}
	if err != nil || stream.SetReadDeadline(time.Now().Add(relayLingerTime)) != nil {
		_ = stream.Close()
	}
	copying.Wait()
	_ = stream.Close()
}

// offeredBytes counts the bytes that are written to an engine, before they are.
type offeredBytes struct {
	to    io.Writer
	count atomic.Int64
}

// Write implements io.Writer.
func (o *offeredBytes) Write(from []byte) (int, error) {
	o.count.Add(int64(len(from)))
	return o.to.Write(from)
}

// confirmRelayedEnd tells the other node how many bytes an engine received before it ended the connection, or returns
// an error if it has not received all that were offered. The other node knows whether more were on the way.
func confirmRelayedEnd(stream *transport.Stream, engine transport.EndConfirmer, offered *atomic.Int64) error {
	received := int64(-1)
	// An engine may have ended only its own direction, and still receive.
	for received != offered.Load() {
		received = offered.Load()
		// The wait ends when either machine closes its connection, or acknowledges nothing.
		if err := engine.ConfirmEnd(context.Background()); err != nil {
			return err
		}
	}
	encoded, err := peer.EncodeStreamMessage(&peer.RelayEnd{Received: received})
	if err != nil {
		return err
	}
	return stream.Signal(encoded)
}

// writeError is the error of the receiving side of a copy.
type writeError struct{ error }

func isWriteError(err error) bool {
	var failure writeError
	return errors.As(err, &failure)
}

// onlyReader hides the other methods of a reader, which io.Copy would use.
type onlyReader struct{ io.Reader }

// copyCounted copies bytes until the sender ends them, and counts them.
func copyCounted(to io.Writer, from io.Reader, bytes *metrics.Counter) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		read, err := from.Read(buffer)
		if read > 0 {
			if _, failure := to.Write(buffer[:read]); failure != nil {
				return writeError{failure}
			}
			bytes.Add(read)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

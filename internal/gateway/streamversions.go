package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/coordination/streamversion"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// findTimeout is how long the nodes that may hold a record are awaited. A round trip takes some
	// milliseconds within a region, and up to 150 between regions.
	findTimeout = 200 * time.Millisecond
	// streamTick is the time between two checks of what this node is informed of.
	streamTick = 250 * time.Millisecond
	// streamLinesPerSecond limits the log lines on messages that are not valid. Omitted lines are
	// counted.
	streamLinesPerSecond = 10
)

var (
	streamsFoundHere   = metrics.GetOrCreateCounter(`ravenway_stream_versions_total{result="own_record"}`)
	streamsFoundThere  = metrics.GetOrCreateCounter(`ravenway_stream_versions_total{result="holder_record"}`)
	streamsOnlyVersion = metrics.GetOrCreateCounter(`ravenway_stream_versions_total{result="only_version"}`)
	streamsUnknown     = metrics.GetOrCreateCounter(`ravenway_stream_versions_total{result="unknown"}`)
	streamsUnconfirmed = metrics.GetOrCreateCounter(`ravenway_stream_versions_total{result="not_confirmed"}`)
	streamSeconds      = metrics.GetOrCreateHistogram("ravenway_stream_version_wait_seconds")
	streamRecordsHeld  = metrics.GetOrCreateGauge("ravenway_stream_records_held", nil)
	streamRecordsSent  = metrics.GetOrCreateCounter("ravenway_stream_records_sent_total")
	streamRecordsLost  = metrics.GetOrCreateGauge("ravenway_stream_records_dropped", nil)
	streamMessagesBad  = metrics.GetOrCreateCounter("ravenway_stream_messages_invalid_total")
)

// streamVersions is this node's part in remembering on which version each stream began. It owns the
// records that are yet to be sent.
type streamVersions struct {
	node    *Node
	duty    *duty.Duty
	store   *streamversion.Store
	history *streamversion.History
	lookups streamversion.LookupLimit
	// unsent are the records of streams that began here and are yet to be sent to their holders.
	unsent   []streamversion.Record
	prunedAt time.Duration
	lines    *forward.LineBudget
}

func newStreamVersions(node *Node) *streamVersions {
	created := &streamVersions{
		node: node, duty: duty.New("streams", streamTick), store: streamversion.NewStore(0), history: streamversion.NewHistory(),
		lines: forward.NewLineBudget(streamLinesPerSecond),
	}
	created.duty.Tick, created.duty.Flush = created.tick, created.flush
	return created
}

// tick updates what this node is informed of, and drops what is out of date.
func (s *streamVersions) tick() {
	now := s.node.now()
	s.history.SetInformed(now, s.isInformed())
	if now-s.prunedAt < pruneInterval {
		return
	}
	s.prunedAt = now
	for origin := range s.node.table.ListedVersions() {
		s.history.Listed(now, origin.Service, origin.Version)
	}
	s.history.Prune(now)
	s.store.Prune(now)
	held, dropped := s.store.Count()
	streamRecordsHeld.Set(float64(held))
	streamRecordsLost.Set(float64(dropped))
	if omitted := s.lines.TakeOmitted(); omitted > 0 {
		s.node.log.Info().Str("event", "stream_messages").Int("lines_left_out", omitted).Send()
	}
}

// isInformed reports whether this node is informed of all instances of the fleet now: it is a control
// node in contact with all members of the control group and all other control nodes that it knows. An
// instance that starts while one of them is missing may be known to that one only.
func (s *streamVersions) isInformed() bool {
	if s.node.replica == nil {
		return false
	}
	group := s.node.replica.shared.Load()
	if !group.hasGroup || group.quorumAge > maximumQuorumAge {
		return false
	}
	view := s.node.fleet.view.Load()
	isAlive := func(address string) bool {
		return address == s.node.address || slices.ContainsFunc(view.alive, func(known *roster.Peer) bool { return known.Control && known.Address == address })
	}
	isLost := func(address string) bool { return !isAlive(address) }
	return !slices.ContainsFunc(group.memberNodes, isLost) && !slices.ContainsFunc(view.knownControls, isLost)
}

// flush sends the records that have accumulated to their holders: one message for each holder.
func (s *streamVersions) flush() {
	if len(s.unsent) == 0 {
		return
	}
	members := s.members()
	byHolder := map[string][]streamversion.Record{}
	for _, record := range s.unsent {
		for _, holder := range members.Holders(record.Key) {
			byHolder[holder] = append(byHolder[holder], record)
		}
	}
	for holder, records := range byHolder {
		if s.node.protocols.versionOf(holder) < peer.ProtocolStreamVersions {
			continue
		}
		streamRecordsSent.Add(len(records))
		s.node.send(holder, peer.KindStreamVersions, streamversion.NewBatch(records))
	}
	s.unsent = s.unsent[:0]
}

// members returns the nodes that may hold records, as this node knows them.
func (s *streamVersions) members() streamversion.Members {
	view := s.node.fleet.view.Load()
	members := streamversion.Members{Self: streamversion.Node{Address: s.node.address, Zone: s.node.settings.Load().Node.Zone}}
	for _, entry := range view.live.Nodes {
		if entry.Address != s.node.address {
			members.Entries = append(members.Entries, streamversion.Node{Address: entry.Address, Zone: entry.Zone})
		}
	}
	if s.node.replica != nil {
		members.Controls = append(members.Controls, members.Self)
	}
	for _, known := range view.alive {
		if known.Control {
			members.Controls = append(members.Controls, streamversion.Node{Address: known.Address, Zone: known.Zone})
		}
	}
	return members
}

// Began implements forward.StreamVersions.
func (s *streamVersions) Began(record streamversion.Record) {
	s.store.Put(s.node.now(), record)
	s.duty.Offer(func() { s.unsent = append(s.unsent, record) })
}

// handleRecords keeps the records of another node's streams.
func (s *streamVersions) handleRecords(from string, batch streamversion.Batch) {
	records, err := batch.Records()
	if err != nil {
		s.recordInvalid(from, err)
		return
	}
	now := s.node.now()
	for _, record := range records {
		s.store.Put(now, record)
	}
}

// recordInvalid counts and logs a message that is not valid. It has no effect.
func (s *streamVersions) recordInvalid(from string, err error) {
	streamMessagesBad.Inc()
	if s.lines.Take() {
		s.node.log.Warn().Str("event", "stream_message_refused").Str("peer", from).Err(err).Send()
	}
}

// Find implements forward.StreamVersions.
func (s *streamVersions) Find(ctx context.Context, query forward.StreamQuery) (forward.FoundStream, error) {
	startedAt := s.node.now()
	found, err := s.find(ctx, query)
	streamSeconds.Update((s.node.now() - startedAt).Seconds())
	switch {
	case errors.Is(err, forward.ErrStreamNotConfirmed):
		streamsUnconfirmed.Inc()
	case err != nil:
		streamsUnknown.Inc()
	case found.Source == forward.OwnRecord:
		streamsFoundHere.Inc()
	case found.Source == forward.HolderRecord:
		streamsFoundThere.Inc()
	default:
		streamsOnlyVersion.Inc()
	}
	return found, err
}

// find looks for a record of the stream here, then at the nodes that may hold one. A stream whose caller
// does not name the attempt that began it has none, so that the service's only version is what is left.
func (s *streamVersions) find(ctx context.Context, query forward.StreamQuery) (forward.FoundStream, error) {
	key := streamversion.KeyOf(query.Tenant, query.Attempt)
	own := s.answer(key, query.Services, query.Lifetime)
	if own.IsKnown {
		return foundStream(own, forward.OwnRecord, "")
	}
	if !s.lookups.Allow(s.node.now(), streamversion.OwnerOf(query.Tenant)) {
		return forward.FoundStream{}, fmt.Errorf("%w: the tenant takes up too many streams at this node", forward.ErrStreamNotConfirmed)
	}
	members := s.members()
	asked := members.Asked(key)
	question := streamversion.Ask(key, query.Services, query.Lifetime)
	survey := streamversion.Survey{Asked: len(asked)}
	survey.AddOwn(own)
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan holderAnswer, len(asked))
	for _, holder := range asked {
		go func() { answers <- s.ask(ctx, holder, question) }()
	}
	for range asked {
		answer := <-answers
		if answer.err == nil && answer.IsKnown {
			return foundStream(answer.Answer, forward.HolderRecord, answer.holder)
		}
		survey.Add(answer.Answer, answer.err == nil)
	}
	knowsFleet := s.KnowsInstances() && members.KnowsControlHolders(len(s.node.settings.Load().Fleet.Seeds))
	return conclude(query, survey, knowsFleet)
}

// KnowsInstances implements forward.StreamVersions.
func (s *streamVersions) KnowsInstances() bool { return s.node.fleet.knowsInstances.Load() }

// answer returns what this node knows of a stream.
func (s *streamVersions) answer(key streamversion.Key, services []string, lifetime time.Duration) streamversion.Answer {
	now := s.node.now()
	answer := s.store.Find(now, key)
	if !answer.IsKnown && len(services) == 1 {
		answer.OnlyVersion, answer.HasOnlyVersion = s.history.OnlyVersion(now, services[0], lifetime)
		answer.HasSeveralVersions = s.history.HasSeveralVersions(now, services[0], lifetime)
	}
	return answer
}

// holderAnswer is the answer of one node, or the error of the call.
type holderAnswer struct {
	streamversion.Answer
	holder string
	err    error
}

// ask asks one node for a stream. A node that runs an earlier build holds no records.
func (s *streamVersions) ask(ctx context.Context, holder string, question streamversion.Question) holderAnswer {
	if version := s.node.protocols.versionOf(holder); version != peer.ProtocolStrict && version < peer.ProtocolStreamVersions {
		return holderAnswer{holder: holder}
	}
	answer, err := peer.Invoke[streamversion.Answer](ctx, s.node.calls, holder, peer.MethodFindStream, question)
	return holderAnswer{Answer: answer, holder: holder, err: err}
}

// foundStream returns the origin that a record names.
func foundStream(answer streamversion.Answer, source forward.StreamSource, holder string) (forward.FoundStream, error) {
	if answer.IsAmbiguous {
		return forward.FoundStream{}, fmt.Errorf("%w: it has several origins at %q", forward.ErrStreamUnknown, holder)
	}
	return forward.FoundStream{Origin: answer.Origin(), Source: source, Node: holder, Age: answer.Age()}, nil
}

// conclude decides on a stream of which no node that responded has a record. A node that has just started may not know
// the nodes that hold the record yet.
func conclude(query forward.StreamQuery, survey streamversion.Survey, knowsFleet bool) (forward.FoundStream, error) {
	if version, isOnly := survey.OnlyVersion(); isOnly {
		return forward.FoundStream{Origin: streamversion.Origin{Service: query.Services[0], Version: version}, Source: forward.OnlyVersion, Age: query.Lifetime}, nil
	}
	switch {
	case !knowsFleet:
		return forward.FoundStream{}, fmt.Errorf("%w: this node does not know the fleet yet, %d nodes asked", forward.ErrStreamNotConfirmed, survey.Asked)
	case !survey.IsComplete():
		return forward.FoundStream{}, fmt.Errorf("%w: %d of %d nodes did not respond", forward.ErrStreamNotConfirmed, survey.Asked-survey.Answered, survey.Asked)
	case query.Attempt == "":
		return forward.FoundStream{}, fmt.Errorf("%w: the caller does not name the attempt that began it", forward.ErrStreamUnknown)
	default:
		return forward.FoundStream{}, fmt.Errorf("%w: %d nodes asked", forward.ErrStreamUnknown, survey.Asked)
	}
}

// handleFind answers another node's question.
func (s *streamVersions) handleFind(from string, call peer.Call) (any, error) {
	response, err := peer.Execute(call, func(question streamversion.Question) (any, error) {
		key, err := question.ReadKey()
		if err != nil {
			return nil, err
		}
		answer := s.answer(key, question.Services, question.Lifetime())
		return &answer, nil
	})
	if err != nil {
		s.recordInvalid(from, err)
	}
	return response, err
}

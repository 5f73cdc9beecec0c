package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	claimsTick = 10 * time.Millisecond
	// claimTimeout is the timeout of one change of a claim.
	claimTimeout = 2 * time.Second
	// scopeRetryDelay is the time for which a scope that could not be reached is skipped.
	scopeRetryDelay = 5 * time.Second
	// zoneAnnounceInterval and fleetAnnounceInterval are the times between two announcements of
	// watermarks: to the acceptors of this zone's keys, and to all nodes.
	zoneAnnounceInterval  = 2 * time.Second
	fleetAnnounceInterval = time.Minute
)

// claimsDuty owns the node's acceptor, which stores claims and votes on them, and its proposer,
// which changes them. A claim records which run of a request may be billed. Its scope determines
// which nodes are its acceptors: nodes of the zone that the scope names, or with ScopeGlobal one
// node in each of three zones.
type claimsDuty struct {
	node     *Node
	duty     *duty.Duty
	acceptor *claims.Acceptor
	proposer *claims.Proposer
	// outgoing holds the messages to each node until the next flush.
	outgoing map[string][]claims.Message
	// wasReady indicates that the acceptor had recovered its claims at an earlier flush.
	wasReady bool

	// watermarks are the watermarks of this node's own settlements: claims up to a watermark are
	// settled at the root. changedForZone and changedForFleet are those yet to be announced to the
	// acceptors of this zone's keys and to all nodes.
	watermarks                                  map[watermarkName]uint64
	changedForZone, changedForFleet             map[watermarkName]struct{}
	nextZoneAnnouncement, nextFleetAnnouncement time.Duration

	// unreachable maps each scope that could not be reached to the time of the last failure.
	scopesMutex sync.Mutex
	unreachable map[string]time.Duration

	// fenced maps a node to its highest fenced incarnation. mutex guards it, since the escrow duty
	// reads it.
	mutex  sync.RWMutex
	fenced map[string]uint64
}

// watermarkName identifies a watermark.
type watermarkName struct {
	owner  accounts.HolderID
	budget string
}

func newClaimsDuty(node *Node) *claimsDuty {
	owner := &claimsDuty{node: node, duty: duty.New("claims", claimsTick), outgoing: map[string][]claims.Message{}, fenced: map[string]uint64{}, unreachable: map[string]time.Duration{},
		watermarks: map[watermarkName]uint64{}, changedForZone: map[watermarkName]struct{}{}, changedForFleet: map[watermarkName]struct{}{}}
	owner.acceptor = claims.NewAcceptor(claims.AcceptorOptions{
		Self: node.name, Incarnation: node.incarnation, Acceptors: node.acceptors, Fresh: len(node.acceptors.Nodes()) == 1,
	})
	owner.startProposer(accounts.HolderID{Node: node.name, Incarnation: node.incarnation})
	owner.duty.Tick = func() {
		owner.queue(owner.acceptor.Tick(node.now()))
		owner.proposer.Tick(node.now())
		owner.announceWatermarks()
	}
	owner.duty.Flush = owner.flush
	return owner
}

func (c *claimsDuty) startProposer(id accounts.HolderID) {
	c.proposer = claims.NewProposer(claims.ProposerOptions{ID: id, Incarnation: c.node.incarnation, Acceptors: c.node.acceptors, Random: newRandom()})
}

// startIncarnation starts a proposer under a new incarnation after the old one was fenced.
func (c *claimsDuty) startIncarnation(id accounts.HolderID) {
	_ = c.duty.Do(context.Background(), func() { c.startProposer(id) })
}

func (c *claimsDuty) handleBatch(batch claimsBatch) {
	c.duty.Offer(func() {
		for _, message := range batch.Messages {
			c.step(message)
		}
	})
}

func (c *claimsDuty) step(message claims.Message) {
	switch message.Kind {
	case claims.MessagePromise, claims.MessageAccepted:
		c.proposer.Step(c.node.now(), message)
	default:
		c.queue(c.acceptor.Step(c.node.now(), message))
	}
}

func (c *claimsDuty) queue(outgoing []claims.Outgoing) {
	for _, message := range outgoing {
		c.outgoing[message.To] = append(c.outgoing[message.To], message.Message)
	}
}

// flush sends one batch of messages to each node. Messages to this node are processed directly.
func (c *claimsDuty) flush() {
	c.queue(c.proposer.TakeOutgoing())
	for len(c.outgoing[c.node.name]) > 0 {
		own := c.outgoing[c.node.name]
		delete(c.outgoing, c.node.name)
		for _, message := range own {
			c.step(message)
		}
		c.queue(c.proposer.TakeOutgoing())
	}
	for to, messages := range c.outgoing {
		c.node.send(to, peer.KindClaims, &claimsBatch{Messages: messages})
	}
	clear(c.outgoing)
	if ready := len(c.acceptor.Recovering()) == 0; ready && !c.wasReady {
		c.wasReady = true
		c.node.log.Info().Str("event", "claims_recovered").Int("claims", c.acceptor.Length()).Send()
	}
}

// change changes a claim and waits for the outcome.
func (c *claimsDuty) change(ctx context.Context, scope string, key claims.Key, change claims.Change) (claims.Outcome, error) {
	outcome, err := duty.Call(ctx, c.duty, func(reply func(claims.Outcome)) {
		now := c.node.now()
		c.proposer.Change(now, now+claimTimeout, scope, key, change, reply)
	})
	if err != nil {
		return claims.Outcome{}, err
	}
	c.recordReachability(scope, outcome.Err)
	return outcome, outcome.Err
}

// read returns a claim as a majority of its acceptors has it.
func (c *claimsDuty) read(ctx context.Context, scope string, key claims.Key) (claims.Outcome, error) {
	return c.change(ctx, scope, key, func(*claims.Claim) *claims.Claim { return nil })
}

// changeGenerated makes the first change of a claim whose key this node has generated.
func (c *claimsDuty) changeGenerated(ctx context.Context, key claims.Key, change claims.Change) (claims.Outcome, error) {
	outcome, err := duty.Call(ctx, c.duty, func(reply func(claims.Outcome)) {
		now := c.node.now()
		c.proposer.ChangeNewKey(now, now+claimTimeout, c.node.zone, key, change, reply)
	})
	if err != nil {
		return claims.Outcome{}, err
	}
	return outcome, outcome.Err
}

// recordReachability records whether a scope could be reached, so that not every request waits for
// the timeout while it can't be.
func (c *claimsDuty) recordReachability(scope string, err error) {
	c.scopesMutex.Lock()
	defer c.scopesMutex.Unlock()
	if errors.Is(err, claims.ErrUnreachable) {
		c.unreachable[scope] = c.node.now()
		return
	}
	delete(c.unreachable, scope)
}

// isReachable reports whether a scope should be tried: within the last scopeRetryDelay, no change
// there has failed because too few of its acceptors were reachable.
func (c *claimsDuty) isReachable(scope string) bool {
	c.scopesMutex.Lock()
	defer c.scopesMutex.Unlock()
	at, failed := c.unreachable[scope]
	return !failed || c.node.now()-at > scopeRetryDelay
}

// recordWatermarks records new watermarks, up to which the root has this node's settlements. They
// are announced to the acceptors later.
func (c *claimsDuty) recordWatermarks(watermarks []claims.Watermark) {
	c.duty.Offer(func() {
		for _, watermark := range watermarks {
			name := watermarkName{owner: watermark.Owner, budget: watermark.Budget}
			c.watermarks[name] = max(c.watermarks[name], watermark.Sequence)
			c.changedForZone[name] = struct{}{}
			c.changedForFleet[name] = struct{}{}
		}
	})
}

// announceWatermarks tells the acceptors which claims they may discard. Claims of generated keys
// are stored at the acceptors of this zone's keys, which are told every few seconds. Claims of
// callers' keys may be stored in any zone and are kept for long anyway, so all nodes are told once
// a minute.
func (c *claimsDuty) announceWatermarks() {
	now := c.node.now()
	if now >= c.nextZoneAnnouncement {
		c.nextZoneAnnouncement = now + zoneAnnounceInterval
		c.announce(c.changedForZone, c.zoneAcceptors())
	}
	if now >= c.nextFleetAnnouncement {
		c.nextFleetAnnouncement = now + fleetAnnounceInterval
		var allNodes []string
		for _, member := range c.node.acceptors.Nodes() {
			allNodes = append(allNodes, member.Name)
		}
		c.announce(c.changedForFleet, allNodes)
	}
}

func (c *claimsDuty) announce(changed map[watermarkName]struct{}, to []string) {
	if len(changed) == 0 {
		return
	}
	message := claims.Message{Kind: claims.MessageWatermark, From: c.node.name, Incarnation: c.node.incarnation}
	for name := range changed {
		message.Watermarks = append(message.Watermarks, claims.Watermark{Owner: name.owner, Budget: name.budget, Sequence: c.watermarks[name]})
	}
	clear(changed)
	for _, name := range to {
		c.queue([]claims.Outgoing{{To: name, Message: message}})
	}
}

// zoneAcceptors returns the nodes that may be acceptors of this zone's keys: the zone's nodes, or
// all nodes if the zone has too few.
func (c *claimsDuty) zoneAcceptors() []string {
	acceptors := slices.Clone(c.node.acceptors.InZone(c.node.zone))
	if len(acceptors) >= membership.AcceptorsPerKey {
		return acceptors
	}
	for _, member := range c.node.acceptors.Nodes() {
		if !slices.Contains(acceptors, member.Name) {
			acceptors = append(acceptors, member.Name)
		}
	}
	return acceptors
}

// fence makes this acceptor acknowledge no further claims of an incarnation, and returns the claims
// of it that it stores.
func (c *claimsDuty) fence(ctx context.Context, owner accounts.HolderID) (fenceResponse, error) {
	return duty.Call(ctx, c.duty, func(reply func(fenceResponse)) {
		records := c.acceptor.Fence(owner)
		c.mutex.Lock()
		c.fenced[owner.Node] = max(c.fenced[owner.Node], owner.Incarnation)
		c.mutex.Unlock()
		reply(fenceResponse{Records: records, Recovering: len(c.acceptor.Recovering()) > 0})
	})
}

// isFenced reports whether an incarnation is fenced at this acceptor.
func (c *claimsDuty) isFenced(id accounts.HolderID) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return id.Incarnation <= c.fenced[id.Node]
}

// ClaimsRecovered reports whether the node's acceptor has recovered its claims from all other nodes
// since its start.
func (n *Node) ClaimsRecovered() bool {
	recovering, err := duty.Call(n.runContext, n.claims.duty, func(reply func(int)) { reply(len(n.claims.acceptor.Recovering())) })
	return err == nil && recovering == 0
}

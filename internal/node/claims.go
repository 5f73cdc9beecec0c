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
	// claimTimeout bounds one change of a claim.
	claimTimeout = 2 * time.Second
	// unreachedFor is how long a scope that could not be reached is passed over.
	unreachedFor = 5 * time.Second
	// announceNear and announceFar are the times between announcements of what
	// may be forgotten.
	announceNear = 2 * time.Second
	announceFar  = time.Minute
)

// claimsDuty owns the node's holder of claims and its proposer.
type claimsDuty struct {
	node     *Node
	duty     *duty.Duty
	holder   *claims.Holder
	proposer *claims.Proposer
	outgoing map[string][]claims.Message
	wasReady bool

	// marks are the watermarks of this node's own settlements; the changed ones
	// are yet to be announced near and far.
	marks                   map[markName]uint64
	changedNear, changedFar map[markName]struct{}
	nextNear, nextFar       time.Duration

	// unreached are the scopes that could not be reached lately, with the time.
	scopesMutex sync.Mutex
	unreached   map[string]time.Duration

	// fenced is the holder's fences, readable from the escrow duty.
	mutex  sync.RWMutex
	fenced map[string]uint64
}

// markName names a watermark.
type markName struct {
	owner  accounts.HolderID
	budget string
}

func newClaimsDuty(node *Node) *claimsDuty {
	owner := &claimsDuty{node: node, duty: duty.New("claims", claimsTick), outgoing: map[string][]claims.Message{}, fenced: map[string]uint64{}, unreached: map[string]time.Duration{},
		marks: map[markName]uint64{}, changedNear: map[markName]struct{}{}, changedFar: map[markName]struct{}{}}
	owner.holder = claims.NewHolder(claims.HolderOptions{
		Self: node.name, Incarnation: node.incarnation, Pool: node.pool, Fresh: len(node.pool.Nodes()) == 1,
	})
	owner.begin(accounts.HolderID{Node: node.name, Incarnation: node.incarnation})
	owner.duty.Tick = func() {
		owner.queue(owner.holder.Tick(node.now()))
		owner.proposer.Tick(node.now())
		owner.announceWatermarks()
	}
	owner.duty.Flush = owner.flush
	return owner
}

func (c *claimsDuty) begin(id accounts.HolderID) {
	c.proposer = claims.NewProposer(claims.ProposerOptions{ID: id, Incarnation: c.node.incarnation, Pool: c.node.pool, Random: newRandom()})
}

// takeNewLife starts proposing under a new life after the old one was fenced.
func (c *claimsDuty) takeNewLife(id accounts.HolderID) {
	_ = c.duty.Do(context.Background(), func() { c.begin(id) })
}

func (c *claimsDuty) take(batch claimsBatch) {
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
		c.queue(c.holder.Step(c.node.now(), message))
	}
}

func (c *claimsDuty) queue(outgoing []claims.Outgoing) {
	for _, one := range outgoing {
		c.outgoing[one.To] = append(c.outgoing[one.To], one.Message)
	}
}

// flush sends one batch to each node. Messages to this node itself are stepped
// at once.
func (c *claimsDuty) flush() {
	c.queue(c.proposer.Outgoing())
	for len(c.outgoing[c.node.name]) > 0 {
		own := c.outgoing[c.node.name]
		delete(c.outgoing, c.node.name)
		for _, message := range own {
			c.step(message)
		}
		c.queue(c.proposer.Outgoing())
	}
	for to, messages := range c.outgoing {
		c.node.send(to, peer.KindClaims, &claimsBatch{Messages: messages})
	}
	clear(c.outgoing)
	if ready := len(c.holder.Recovering()) == 0; ready && !c.wasReady {
		c.wasReady = true
		c.node.log.Info().Str("event", "claims_recovered").Int("claims", c.holder.Length()).Send()
	}
}

// change changes a claim and waits for the end.
func (c *claimsDuty) change(ctx context.Context, scope string, key claims.Key, change claims.Change) (claims.Outcome, error) {
	outcome, err := duty.Call(ctx, c.duty, func(answer func(claims.Outcome)) {
		now := c.node.now()
		c.proposer.Change(now, now+claimTimeout, scope, key, change, answer)
	})
	if err != nil {
		return claims.Outcome{}, err
	}
	c.noteReach(scope, outcome.Err)
	return outcome, outcome.Err
}

// read returns a claim as a majority of its holders has it.
func (c *claimsDuty) read(ctx context.Context, scope string, key claims.Key) (claims.Outcome, error) {
	return c.change(ctx, scope, key, func(*claims.Claim) *claims.Claim { return nil })
}

// changeMinted makes the first change of a key that this node made up.
func (c *claimsDuty) changeMinted(ctx context.Context, key claims.Key, change claims.Change) (claims.Outcome, error) {
	outcome, err := duty.Call(ctx, c.duty, func(answer func(claims.Outcome)) {
		now := c.node.now()
		c.proposer.ChangeMinted(now, now+claimTimeout, c.node.zone, key, change, answer)
	})
	if err != nil {
		return claims.Outcome{}, err
	}
	return outcome, outcome.Err
}

// noteReach remembers for a while that a scope could not be reached, so that
// not every request waits to find out.
func (c *claimsDuty) noteReach(scope string, err error) {
	c.scopesMutex.Lock()
	defer c.scopesMutex.Unlock()
	if errors.Is(err, claims.ErrUnreachable) {
		c.unreached[scope] = c.node.now()
		return
	}
	delete(c.unreached, scope)
}

// reachedLately tells whether a scope is worth trying.
func (c *claimsDuty) reachedLately(scope string) bool {
	c.scopesMutex.Lock()
	defer c.scopesMutex.Unlock()
	at, failed := c.unreached[scope]
	return !failed || c.node.now()-at > unreachedFor
}

// noteWatermarks keeps the settlements that the root has, to be announced.
func (c *claimsDuty) noteWatermarks(marks []claims.Watermark) {
	c.duty.Offer(func() {
		for _, mark := range marks {
			name := markName{owner: mark.Owner, budget: mark.Budget}
			c.marks[name] = max(c.marks[name], mark.Sequence)
			c.changedNear[name] = struct{}{}
			c.changedFar[name] = struct{}{}
		}
	})
}

// announceWatermarks tells the holders which claims may be forgotten: those of
// minted keys, which lie near, every few seconds; those of callers' keys, which
// may lie in any zone and are kept for long anyway, once a minute.
func (c *claimsDuty) announceWatermarks() {
	now := c.node.now()
	if now >= c.nextNear {
		c.nextNear = now + announceNear
		c.announce(c.changedNear, c.nearHolders())
	}
	if now >= c.nextFar {
		c.nextFar = now + announceFar
		var everyone []string
		for _, member := range c.node.pool.Nodes() {
			everyone = append(everyone, member.Name)
		}
		c.announce(c.changedFar, everyone)
	}
}

func (c *claimsDuty) announce(changed map[markName]struct{}, to []string) {
	if len(changed) == 0 {
		return
	}
	message := claims.Message{Kind: claims.MessageWatermark, From: c.node.name, Incarnation: c.node.incarnation}
	for name := range changed {
		message.Marks = append(message.Marks, claims.Watermark{Owner: name.owner, Budget: name.budget, Sequence: c.marks[name]})
	}
	clear(changed)
	for _, name := range to {
		c.queue([]claims.Outgoing{{To: name, Message: message}})
	}
}

// nearHolders are the nodes that may hold this zone's keys.
func (c *claimsDuty) nearHolders() []string {
	near := slices.Clone(c.node.pool.InZone(c.node.zone))
	if len(near) >= membership.HoldersPerKey {
		return near
	}
	for _, member := range c.node.pool.Nodes() {
		if !slices.Contains(near, member.Name) {
			near = append(near, member.Name)
		}
	}
	return near
}

// fence makes this holder acknowledge nothing more of a life.
func (c *claimsDuty) fence(ctx context.Context, owner accounts.HolderID) (fenceAnswer, error) {
	return duty.Call(ctx, c.duty, func(answer func(fenceAnswer)) {
		records := c.holder.Fence(owner)
		c.mutex.Lock()
		c.fenced[owner.Node] = max(c.fenced[owner.Node], owner.Incarnation)
		c.mutex.Unlock()
		answer(fenceAnswer{Records: records, Recovering: len(c.holder.Recovering()) > 0})
	})
}

// fencedHere tells whether a life is fenced at this holder.
func (c *claimsDuty) fencedHere(id accounts.HolderID) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return id.Incarnation <= c.fenced[id.Node]
}

// ClaimsRecovered tells whether the node's holder of claims has heard from all
// others since its start.
func (n *Node) ClaimsRecovered() bool {
	recovering, err := duty.Call(n.life, n.claims.duty, func(answer func(int)) { answer(len(n.claims.holder.Recovering())) })
	return err == nil && recovering == 0
}

package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	claimsTick = 10 * time.Millisecond
	// claimTimeout bounds one change of a claim.
	claimTimeout = 2 * time.Second
	// unreachedFor is how long a scope that could not be reached is passed over.
	unreachedFor = 5 * time.Second
)

// claimsDuty owns the node's holder of claims and its proposer.
type claimsDuty struct {
	node     *Node
	duty     *duty
	holder   *claims.Holder
	proposer *claims.Proposer
	outgoing map[string][]claims.Message
	wasReady bool

	// unreached are the scopes that could not be reached lately, with the time.
	scopesMutex sync.Mutex
	unreached   map[string]time.Duration

	// fenced is the holder's fences, readable from the escrow duty.
	mutex  sync.RWMutex
	fenced map[string]uint64
}

func newClaimsDuty(node *Node) *claimsDuty {
	owner := &claimsDuty{node: node, duty: newDuty("claims", claimsTick), outgoing: map[string][]claims.Message{}, fenced: map[string]uint64{}, unreached: map[string]time.Duration{}}
	owner.holder = claims.NewHolder(claims.HolderOptions{
		Self: node.name, Incarnation: node.incarnation, Pool: node.pool, Fresh: len(node.pool.Nodes()) == 1,
	})
	owner.begin(accounts.HolderID{Node: node.name, Incarnation: node.incarnation})
	owner.duty.tick = func() {
		owner.queue(owner.holder.Tick(node.now()))
		owner.proposer.Tick(node.now())
	}
	owner.duty.flush = owner.flush
	return owner
}

func (c *claimsDuty) begin(id accounts.HolderID) {
	c.proposer = claims.NewProposer(claims.ProposerOptions{ID: id, Incarnation: c.node.incarnation, Pool: c.node.pool, Random: newRandom()})
}

// takeNewLife starts proposing under a new life after the old one was fenced.
func (c *claimsDuty) takeNewLife(id accounts.HolderID) {
	_ = c.duty.do(context.Background(), func() { c.begin(id) })
}

func (c *claimsDuty) take(batch claimsBatch) {
	c.duty.offer(func() {
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
	outcome, err := ask(ctx, c.duty, func(answer func(claims.Outcome)) {
		now := c.node.now()
		c.proposer.Change(now, now+claimTimeout, scope, key, change, answer)
	})
	if err != nil {
		return claims.Outcome{}, err
	}
	c.noteReach(scope, outcome.Err)
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

// announceWatermarks tells the holders which claims may be forgotten.
func (c *claimsDuty) announceWatermarks(marks []claims.Watermark) {
	c.duty.offer(func() {
		id := c.node.escrow.id.Load()
		message := claims.Message{Kind: claims.MessageWatermark, From: id.Node, Incarnation: c.node.incarnation, Marks: marks}
		for _, node := range c.node.pool.Nodes() {
			c.queue([]claims.Outgoing{{To: node.Name, Message: message}})
		}
	})
}

// fence makes this holder acknowledge nothing more of a life.
func (c *claimsDuty) fence(ctx context.Context, owner accounts.HolderID) (fenceAnswer, error) {
	return ask(ctx, c.duty, func(answer func(fenceAnswer)) {
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

package gateway

import (
	"net/http"
	"sync"
	"time"
)

const (
	// unlistingShare is the share of a poll interval that a node must answer as not ready until the
	// balancer counts as sending new connections to other nodes. Balancers take a node out at the
	// second such poll, which is one interval after the first; the rest is for polls that come early.
	unlistingShare = 0.75
	// minimumUnlistingTime is the shortest such time: balancers poll once a second or more rarely,
	// and polls in quick succession are repetitions.
	minimumUnlistingTime = 900 * time.Millisecond
	// maximumPollAge is the age of the last poll from which nothing is known of a balancer: several
	// polls of one that polls once a second, or a longer gap than any interval in use.
	maximumPollAge = 5 * time.Second
)

// readinessPolls records the balancer's polls of this node's readiness. Only the balancer may poll:
// the polls of another caller of the ready path can't be told from its own. Its zero value is ready
// for use, and it is safe for concurrent use.
type readinessPolls struct {
	mutex sync.Mutex
	// lastAt is the time of the last poll on the node's clock; 0 before the first.
	lastAt time.Duration
	// gaps are the times between the last polls, those from maximumPollAge on left out. The longer
	// one counts: one of them may be a repetition.
	gaps [2]time.Duration
	// notReadySince is the time of the first of the successive polls that were answered as not
	// ready, and isUnlisted is set after enough of them.
	notReadySince time.Duration
	isNotReady    bool
	isUnlisted    bool
}

func (p *readinessPolls) record(now time.Duration, ready bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if gap := now - p.lastAt; p.lastAt > 0 && gap < maximumPollAge {
		p.gaps[0], p.gaps[1] = p.gaps[1], gap
	}
	p.lastAt = now
	switch {
	case ready:
		p.isNotReady, p.isUnlisted = false, false
	case !p.isNotReady:
		p.isNotReady, p.notReadySince = true, now
	case now-p.notReadySince >= p.unlistingTime():
		p.isUnlisted = true
	}
}

// unlistingTime returns the time for which a node is not ready until the balancer takes it out.
func (p *readinessPolls) unlistingTime() time.Duration {
	return max(minimumUnlistingTime, time.Duration(unlistingShare*float64(max(p.gaps[0], p.gaps[1]))))
}

// isListed reports whether a balancer is known to send callers' new connections to this node.
func (p *readinessPolls) isListed(now time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastAt > 0 && now-p.lastAt < maximumPollAge && !p.isUnlisted
}

// readyHandler answers the balancer's polls.
func (n *Node) readyHandler() http.Handler { return n.options.Dialect.ReadyHandler(n.answerPoll) }

// answerPoll returns what a poll of the node's readiness is answered, and records it.
func (n *Node) answerPoll() bool {
	ready := n.ready()
	n.polls.record(n.now(), ready)
	return ready
}

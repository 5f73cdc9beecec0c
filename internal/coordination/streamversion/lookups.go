package streamversion

import (
	"sync"
	"time"
)

// maximumLookups is how many streams of one tenant a node asks other nodes for in each second: about as
// many as a node relays at once, all of which come here when that node is lost.
const maximumLookups = 200

// LookupLimit is a rate limit for each tenant: each lookup asks several nodes, so a caller that makes up
// attempts could fill their links. Tenants do not take from each other. It is safe for concurrent use.
type LookupLimit struct {
	mutex sync.Mutex
	// second is the second that is counted, counts the lookups of each owner in it.
	second time.Duration
	counts map[Owner]int
}

// Allow reports whether a stream of an owner may be looked up now, and counts it if so.
func (l *LookupLimit) Allow(now time.Duration, owner Owner) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if second := now.Truncate(time.Second); second != l.second || l.counts == nil {
		l.second, l.counts = second, map[Owner]int{}
	}
	if l.counts[owner] >= maximumLookups {
		return false
	}
	l.counts[owner]++
	return true
}

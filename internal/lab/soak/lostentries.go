package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// lostEntriesRandomStream is the second seed of the random numbers for losses of all entry nodes.
	lostEntriesRandomStream = 7000
	// maximumLossSpread is the time within which all entry nodes are lost, and maximumReturnSpread that within which
	// they return, one after another.
	maximumLossSpread   = 2 * time.Second
	maximumReturnSpread = time.Second
	lostEntriesDowntime = 500 * time.Millisecond
	// lossesOfEntries is the number of losses; the second one comes during the recovery from the first.
	lossesOfEntries = 2
	// lostEntriesReleases is how long versions are released meanwhile.
	lostEntriesReleases = 5 * time.Second
)

// loseAllEntries kills all entry nodes, so that no node is left that relayed the streams in progress, while versions of
// the model service are released. The nodes return one after another, and are lost again while they recover. checkStreams
// judges the streams that their callers take up again.
func (r *run) loseAllEntries(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, lostEntriesRandomStream))
	releasing, stopReleases := context.WithTimeout(ctx, lostEntriesReleases)
	defer stopReleases()
	var releases sync.WaitGroup
	releases.Go(func() { r.releaseVersions(ctx, releasing, rand.New(rand.NewPCG(seed, lostEntriesRandomStream+1))) })
	for range lossesOfEntries {
		r.injectDisruptive(func() { r.loseEntriesOnce(ctx, random) })
		pause.For(ctx, time.Duration(random.Int64N(int64(maximumReturnSpread))))
	}
	releases.Wait()
}

// loseEntriesOnce kills all entry nodes within maximumLossSpread and starts them again.
func (r *run) loseEntriesOnce(ctx context.Context, random *rand.Rand) {
	var lost []*machine
	share := time.Duration(len(r.callers.entries))
	for _, one := range r.callers.entries {
		if !r.hold(one) {
			continue
		}
		lost = append(lost, one)
		one.signal(syscall.SIGCONT)
		one.signal(syscall.SIGKILL)
		pause.For(ctx, time.Duration(random.Int64N(int64(maximumLossSpread/share))))
	}
	r.reportf("all %d entry nodes are lost", len(lost))
	pause.For(ctx, lostEntriesDowntime)
	for _, one := range lost {
		one.waitForExit(time.Minute)
		r.restart(one)
		r.release(one)
		pause.For(ctx, time.Duration(random.Int64N(int64(maximumReturnSpread/share))))
	}
}

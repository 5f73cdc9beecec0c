package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/lab/standin"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// newVersion is the version that the plain service is rolled out to, oldVersion the initial
	// version of all engines.
	oldVersion, newVersion = "v1", "v2"
	// The new version's engines run at newPlaceCount places from firstNewPlace on. The lower places
	// are those of the other engines.
	firstNewPlace, newPlaceCount = 6, 3
	rolloutDuration              = 8 * time.Second
	// maximumRolloutWait is the maximum wait for the end of the rollout: faults repeatedly stop or
	// partition the control nodes for seconds.
	maximumRolloutWait = 25 * time.Second
	// A bad version may get a tenth of the service's requests plus 50.
	exposureShare, exposureSlack = 0.1, 50
	// rolloutRandomStream is the second seed of the random numbers for rollouts.
	rolloutRandomStream = 3000
)

// rollout orders a rollout of the plain service to a version that the seed makes good or bad, while
// faults are injected, and ends the engines of the version that the outcome leaves unused.
func (r *run) rollout(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, rolloutRandomStream))
	isBad := random.IntN(2) == 0
	pause.For(ctx, time.Duration(random.Int64N(int64(2*time.Second))))
	before := r.fleet.truth.PlainRuns("")
	if err := r.fleet.waitFor(ctx, maximumRolloutWait, "a response to the order for a rollout", func() bool { return r.fleet.orderRollout(ctx) }); err != nil {
		r.violationf("%v", err)
		return
	}
	for place := firstNewPlace; place < firstNewPlace+newPlaceCount; place++ {
		if err := r.fleet.addEngineOfVersion(servicePlain, newVersion, place, isBad); err != nil {
			r.violationf("%v", err)
		}
	}
	state := standin.RolloutRunning
	err := r.fleet.waitFor(ctx, maximumRolloutWait, "the end of a rollout", func() bool {
		state = r.fleet.rolloutState(ctx)
		return state == standin.RolloutDone || state == standin.RolloutRolledBack
	})
	if err != nil {
		r.violationf("%v", err)
	}
	all, toNew := r.fleet.truth.PlainRuns("")-before, r.fleet.truth.PlainRuns(newVersion)
	r.reportf("rollout of a version that is bad %v: %s, %d of %d runs", isBad, state, toNew, all)
	switch {
	case isBad && state == standin.RolloutDone:
		r.violationf("a version whose responses all fail was rolled out")
	case isBad && float64(toNew) > exposureShare*float64(all)+exposureSlack:
		r.violationf("a bad version got %d of %d requests", toNew, all)
	}
	r.fleet.endUnusedVersion(state == standin.RolloutDone)
}

// orderRollout sends the order and reports whether it was acknowledged, as new or as already in
// progress (409).
func (f *fleet) orderRollout(ctx context.Context) bool {
	path, body := f.wire.Rollout(servicePlain, newVersion, rolloutDuration)
	for _, position := range rand.Perm(controlCount) {
		_, status := f.callControlNode(ctx, f.members[position], http.MethodPost, path, body)
		if status == http.StatusOK || status == http.StatusConflict {
			return true
		}
	}
	return false
}

// rolloutState reads the state of the rollout; "" if no control node returns it.
func (f *fleet) rolloutState(ctx context.Context) standin.RolloutState {
	response, found := f.callControl(ctx, http.MethodGet, f.wire.RolloutPath(servicePlain), nil)
	if !found {
		return ""
	}
	return f.wire.ReadRollout(response)
}

// endUnusedVersion ends the engines that get no more requests after the rollout, without a drain:
// the old version's if it is done, else the new version's.
func (f *fleet) endUnusedVersion(isDone bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if isDone {
		f.plainVersion = newVersion
	}
	for name, one := range f.engines {
		if one.Service == servicePlain && (one.Version == newVersion) != isDone {
			delete(f.engines, name)
			one.crash()
		}
	}
}

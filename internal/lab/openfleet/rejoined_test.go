package openfleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rejoinCase is a loss of all entry nodes while streams are in progress.
type rejoinCase struct {
	// versions are those that serve before the loss.
	versions []string
	// losesV1 indicates that the engines of v1 crash during the loss, and isReplaced that engines of v2, of which no
	// node has heard, start then and send their first heartbeats only after the nodes are back.
	losesV1, isReplaced bool
	// namesNoAttempt, staggers and losesTwice indicate that callers do not name the attempt that began the stream, that
	// the nodes are lost and return one after another, and that all are lost again while they recover.
	namesNoAttempt, staggers, losesTwice bool
}

// String names the case.
func (c rejoinCase) String() string {
	return fmt.Sprintf("%v,v1 gone %v,replaced %v,no attempt %v,one by one %v,twice %v", c.versions, c.losesV1, c.isReplaced, c.namesNoAttempt, c.staggers, c.losesTwice)
}

// rejoinCases returns all combinations.
func rejoinCases() []rejoinCase {
	var all []rejoinCase
	for _, begin := range []rejoinCase{{versions: []string{"v1"}}, {versions: []string{"v1", "v2"}}, {versions: []string{"v1", "v2"}, losesV1: true}, {versions: []string{"v1"}, losesV1: true, isReplaced: true}} {
		for number := range 8 {
			one := begin
			one.namesNoAttempt, one.staggers, one.losesTwice = number&1 > 0, number&2 > 0, number&4 > 0
			all = append(all, one)
		}
	}
	return all
}

// versionMemoryTime is longer than the lease of the engines that the fleet begins with, and two timeouts of the routes
// after it, when the only version of a service counts as such.
const versionMemoryTime = 40 * time.Second

// rejoinPatience is longer than two losses of all nodes that go down and return one after another.
const rejoinPatience = 12 * time.Second

// mustGoOn reports whether a stream that began at a version has to go on after it is taken up.
func (c rejoinCase) mustGoOn(version string) bool {
	if c.losesV1 && version == "v1" {
		return false
	}
	return !c.namesNoAttempt || len(c.versions) == 1
}

// inject loses all entry nodes, and changes the engines meanwhile.
func (c rejoinCase) inject(v *versionedFleet) {
	c.loseEntryNodes(v)
	if c.losesV1 {
		for _, engine := range v.engines {
			if engine.Version == "v1" {
				v.CrashEngine(engine)
			}
		}
	}
	var replacing []*Engine
	if c.isReplaced {
		for _, zone := range zones {
			added := v.addEngine("replacing-"+zone, zone, "v2")
			v.stopHeartbeatsOf(added)
			replacing = append(replacing, added)
		}
	}
	c.returnEntryNodes(v)
	time.Sleep(300 * time.Millisecond)
	if c.losesTwice {
		c.loseEntryNodes(v)
		c.returnEntryNodes(v)
	}
	for _, engine := range replacing {
		v.startHeartbeatsOf(engine)
	}
}

func (c rejoinCase) loseEntryNodes(v *versionedFleet) {
	for _, name := range v.MachineNames(false) {
		v.Kill(name)
		c.pause()
	}
	time.Sleep(500 * time.Millisecond)
}

func (c rejoinCase) returnEntryNodes(v *versionedFleet) {
	for _, name := range v.MachineNames(false) {
		v.Boot(name)
		c.pause()
	}
}

func (c rejoinCase) pause() {
	if c.staggers {
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against streams that are joined from two versions when their callers take them up again after all entry nodes
// were lost, so that no node that is asked first knows them, and against streams that end although their version serves.
func TestStreamsContinueOnTheirVersionAfterAllEntryNodesWereLost(t *testing.T) {
	for _, one := range rejoinCases() {
		t.Run(one.String(), func(t *testing.T) {
			withFleetOfVersions(t, 6, one.versions, func(t *testing.T, v *versionedFleet) {
				v.namesNoAttempt, v.patience = one.namesNoAttempt, rejoinPatience
				time.Sleep(versionMemoryTime)
				streams := v.followMany(76, 60, 20*time.Millisecond, func() {
					time.Sleep(800 * time.Millisecond)
					one.inject(v)
				})
				_, _ = assertNoJoins(t, streams)
				takenUp, wentOn := 0, 0
				for _, stream := range streams {
					if !stream.wasTakenUp() || len(stream.events) == 0 || !one.mustGoOn(stream.versions[0]) {
						continue
					}
					takenUp++
					if stream.isComplete {
						wentOn++
					}
					// A node that knows only a part of the fleet can't refuse a stream for good.
					assert.Check(t, !strings.Contains(stream.refusal, "stream_version_gone") && !strings.Contains(stream.refusal, "began: 1 nodes asked"), "%s: %s", stream.id, stream.refusal)
				}
				t.Logf("%d streams were taken up that have to go on, %d did", takenUp, wentOn)
				assert.Check(t, float64(wentOn) >= ownGoal*float64(takenUp), "%d of %d streams went on", wentOn, takenUp)
				assert.Check(t, takenUp >= 8 || !one.mustGoOn("v1") && !one.mustGoOn("v2") || one.isReplaced, "%d streams were taken up", takenUp)
			})
		})
	}
}

package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	sameZone     = Node{Address: "near", Zone: "a"}
	alsoSameZone = Node{Address: "near2", Zone: "a"}
	remote       = Node{Address: "far", Zone: "b"}
	allControls  = []Node{remote, sameZone, alsoSameZone}
)

// follower returns a follower with version 1 to which all nodes announced version 2 at time 0.
func follower() *Follower {
	created := NewFollower("a")
	created.RecordApplied(0, 1)
	for _, node := range allControls {
		created.RecordAnnouncement(0, node, 2)
	}
	return created
}

func TestVersionInFlightIsNotRequested(t *testing.T) {
	f := follower()
	address, wait := f.Next(0)
	assert.Equal(t, address, "")
	assert.Equal(t, wait, deliveryWait)
	f.RecordApplied(100*time.Millisecond, 2)
	address, wait = f.Next(time.Second)
	assert.Equal(t, address, "")
	assert.Equal(t, wait, time.Duration(0))
}

// Guards against one unresponsive node delaying a version that two others have.
func TestRequestsWithoutResponseGoToOneNodeAfterTheOther(t *testing.T) {
	f := follower()
	var requests []string
	for now := time.Duration(0); now < 2*time.Second; now += 10 * time.Millisecond {
		if address, _ := f.Next(now); address != "" {
			requests = append(requests, fmt.Sprintf("%s at %d", address, now.Milliseconds()))
		}
	}
	assert.DeepEqual(t, requests, []string{"near at 300", "near2 at 600", "far at 1200"})
}

func TestNodeWithoutAVersionRequestsItImmediately(t *testing.T) {
	f := NewFollower("a")
	f.RecordAnnouncement(time.Second, remote, 7)
	address, _ := f.Next(time.Second)
	assert.Equal(t, address, "far")
}

func TestOutdatedAnnouncementIsIgnored(t *testing.T) {
	f := follower()
	address, wait := f.Next(maximumAnnouncementAge + time.Millisecond)
	assert.Equal(t, address, "")
	assert.Equal(t, wait, time.Duration(0))
	f.RecordAnnouncement(4*time.Second, remote, 2)
	address, _ = f.Next(4 * time.Second)
	assert.Equal(t, address, "far")
}

func TestVersionOfALaggingNodeDoesNotEndTheRequests(t *testing.T) {
	f := follower()
	f.RecordAnnouncement(0, remote, 3)
	f.RecordApplied(100*time.Millisecond, 2)
	address, _ := f.Next(100*time.Millisecond + deliveryWait)
	assert.Equal(t, address, "far")
}

func TestEachEntryNodeHasOneSenderOfItsZone(t *testing.T) {
	senders := map[string]int{}
	for number := range 100 {
		entry := Node{Address: fmt.Sprintf("entry-%d", number), Zone: "a"}
		sender := ChooseSender(entry, allControls)
		assert.Equal(t, sender, ChooseSender(entry, []Node{alsoSameZone, sameZone, remote}))
		senders[sender]++
	}
	assert.Equal(t, senders["far"], 0)
	assert.Assert(t, senders["near"] > 25 && senders["near2"] > 25, "%v", senders)
	assert.Equal(t, ChooseSender(Node{Address: "entry", Zone: "c"}, []Node{remote}), "far")
	assert.Equal(t, ChooseSender(Node{Address: "entry", Zone: "c"}, nil), "")
}

func TestVersionIsSentAgainOnlyWhenOverdue(t *testing.T) {
	p := NewPublisher()
	due := func(now time.Duration) bool { return p.TakeDue(now, "e", 2, 1000) }
	p.RecordVersion("e", "one", 1)
	assert.Assert(t, due(0))
	assert.Assert(t, !due(initialResendInterval-time.Millisecond))
	assert.Assert(t, due(initialResendInterval))
	assert.Assert(t, !due(2*initialResendInterval))
	assert.Assert(t, due(3*initialResendInterval))
	p.RecordVersion("e", "one", 2)
	assert.Assert(t, !due(time.Hour))
}

func TestSuccessiveSmallVersionsAreSentUpToTheUnconfirmedBound(t *testing.T) {
	p := NewPublisher()
	p.RecordVersion("e", "one", 1)
	sent := 0
	for version := uint64(2); version < 50; version++ {
		if p.TakeDue(0, "e", version, maximumUnconfirmed/4) {
			sent++
		}
	}
	assert.Equal(t, sent, 4)
	// The newest version is sent as soon as the bound on unconfirmed bytes allows it.
	p.RecordVersion("e", "one", 5)
	assert.Assert(t, p.TakeDue(0, "e", 49, maximumUnconfirmed/4))
	p.RecordVersion("e", "one", 49)
	assert.Assert(t, !p.TakeDue(time.Hour, "e", 49, maximumUnconfirmed/4))
}

func TestLargeDocumentIsInFlightOnceAtATime(t *testing.T) {
	p := NewPublisher()
	p.RecordVersion("e", "one", 1)
	assert.Assert(t, p.TakeDue(0, "e", 2, 10*maximumUnconfirmed))
	assert.Assert(t, !p.TakeDue(100*time.Millisecond, "e", 3, 10*maximumUnconfirmed))
	p.RecordVersion("e", "one", 2)
	assert.Assert(t, p.TakeDue(200*time.Millisecond, "e", 3, 10*maximumUnconfirmed))
}

func TestNewIncarnationOfANodeHasNoVersion(t *testing.T) {
	p := NewPublisher()
	p.RecordVersion("e", "one", 2)
	assert.Assert(t, !p.TakeDue(0, "e", 2, 10))
	p.RecordVersion("e", "two", 0)
	assert.Assert(t, p.TakeDue(0, "e", 2, 10))
	// A confirmation carries no incarnation.
	p.RecordVersion("e", "", 2)
	assert.Assert(t, !p.TakeDue(time.Hour, "e", 2, 10))
	p.Forget("e")
	assert.Assert(t, !p.TakeDue(time.Hour, "e", 2, 10))
}

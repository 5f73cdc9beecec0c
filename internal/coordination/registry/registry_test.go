package registry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func ready(id string, sequence uint64) Instance {
	return Instance{ID: id, Service: "llm", Address: "10.0.0.1:1", Zone: "a", State: Ready, Sequence: sequence}
}

func draining(id string, sequence uint64) Instance {
	instance := ready(id, sequence)
	instance.State = Draining
	return instance
}

func TestLateHeartbeatDoesNotUndoDraining(t *testing.T) {
	registry := New(0)
	changed, err := registry.Heartbeat(0, ready("i", 1))
	assert.NilError(t, err)
	assert.Assert(t, changed)
	changed, _ = registry.Heartbeat(1, draining("i", 5))
	assert.Assert(t, changed)
	changed, _ = registry.Heartbeat(2, ready("i", 4))
	assert.Assert(t, !changed)
	assert.Equal(t, registry.Live()[0].State, Draining)
}

func TestHeartbeatAfterLeavingDoesNotRestoreTheInstance(t *testing.T) {
	registry := New(0)
	assert.Assert(t, registry.Leave(0, Incarnation{ID: "i"}))
	_, err := registry.Heartbeat(1, ready("i", 9))
	assert.NilError(t, err)
	assert.Equal(t, len(registry.Live()), 0)
	assert.Assert(t, !registry.Leave(2, Incarnation{ID: "i"}))
}

func TestIncompleteHeartbeatIsRefused(t *testing.T) {
	_, err := New(0).Heartbeat(0, Instance{ID: "i", Service: "llm"})
	assert.ErrorIs(t, err, ErrIncomplete)
}

func TestInstanceExpiresWithoutHeartbeatsAndTheNextOneRestoresIt(t *testing.T) {
	registry := New(time.Second)
	_, _ = registry.Heartbeat(0, ready("i", 1))
	registry.RecordContact(900*time.Millisecond, []string{"i"})
	assert.Equal(t, len(registry.Expire(1500*time.Millisecond)), 0)
	assert.Equal(t, len(registry.Expire(2*time.Second)), 1)
	assert.Equal(t, len(registry.Live()), 0)
	changed, _ := registry.Heartbeat(3*time.Second, ready("i", 2))
	assert.Assert(t, changed)
	assert.Equal(t, len(registry.Live()), 1)
}

func TestNodeThatLostItsStateRemovesNothingElsewhere(t *testing.T) {
	intact, restarted := New(0), New(0)
	_, _ = intact.Heartbeat(0, ready("i", 1))
	assert.Equal(t, len(intact.Merge(1, restarted.Instances(1))), 0)
	assert.Equal(t, len(restarted.Merge(1, intact.Instances(1))), 1)
	assert.Equal(t, intact.Digest(), restarted.Digest())
}

func TestMergesInAnyOrderConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Instance {
			instance := ready(rapid.SampledFrom([]string{"i", "j"}).Draw(t, "id"), rapid.Uint64Range(1, 4).Draw(t, "sequence"))
			instance.State = State(rapid.IntRange(int(Ready), int(Gone)).Draw(t, "state"))
			instance.StartedAt = rapid.Int64Range(1, 3).Draw(t, "startedAt")
			instance.Epoch = rapid.Uint32Range(0, 1).Draw(t, "epoch")
			return instance
		}), 1, 8).Draw(t, "messages")
		seed := rapid.Uint64().Draw(t, "seed")
		one, other := New(0), New(0)
		for _, message := range messages {
			one.Merge(0, []Instance{message})
		}
		random := rand.New(rand.NewPCG(seed, 1))
		for _, position := range random.Perm(len(messages)) {
			other.Merge(0, []Instance{messages[position], messages[position]})
		}
		assert.Equal(t, one.Digest(), other.Digest())
	})
}

func TestColdTimeIsSentOnceAndEndsAtTheSameMomentOnOtherNodes(t *testing.T) {
	control, entry := New(0), New(0)
	cold := func(sequence uint64, left time.Duration) Instance {
		instance := ready("i", sequence)
		instance.ColdLeft = left
		return instance
	}
	changed, err := control.Heartbeat(0, cold(1, 3*time.Second))
	assert.NilError(t, err)
	assert.Assert(t, changed)
	changed, _ = control.Heartbeat(time.Second, cold(2, 2*time.Second))
	assert.Assert(t, !changed, "the end of the cold time is unchanged")
	// It is sent two seconds later to a node with a different clock reading.
	entry.Merge(50*time.Second, control.Instances(2*time.Second))
	assert.Equal(t, entry.Live()[0].ColdUntil, 51*time.Second)
	changed, _ = control.Heartbeat(9*time.Second, cold(3, 0))
	assert.Assert(t, !changed, "the cold time ended as reported before")
	changed, _ = control.Heartbeat(10*time.Second, cold(4, 3*time.Second))
	assert.Assert(t, changed, "the instance is cold again")
}

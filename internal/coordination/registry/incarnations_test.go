package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// message is a message about an instance that a registry may receive.
type message struct {
	name string
	send func(r *Registry, now time.Duration)
}

func heartbeat(startedAt int64, sequence uint64, state State) message {
	return message{name: fmt.Sprintf("heartbeat %d of %d, %s", sequence, startedAt, state), send: func(r *Registry, now time.Duration) {
		instance := ready("i", sequence)
		instance.StartedAt, instance.State = startedAt, state
		_, _ = r.Heartbeat(now, instance)
	}}
}

func merged(startedAt int64, sequence uint64, state State) message {
	return message{name: fmt.Sprintf("update %d of %d, %s", sequence, startedAt, state), send: func(r *Registry, now time.Duration) {
		instance := ready("i", sequence)
		instance.StartedAt, instance.State = startedAt, state
		r.Merge(now, []Instance{instance})
	}}
}

func leaving(startedAt int64) message {
	return message{name: fmt.Sprintf("leave of %d", startedAt), send: func(r *Registry, now time.Duration) { r.Leave(now, Incarnation{ID: "i", StartedAt: startedAt}) }}
}

// permutations calls the function with each permutation of the messages.
func permutations(messages []message, call func([]message)) {
	if len(messages) == 0 {
		call(nil)
	}
	for position := range messages {
		remaining := append(append([]message{}, messages[:position]...), messages[position+1:]...)
		permutations(remaining, func(order []message) { call(append([]message{messages[position]}, order...)) })
	}
}

// Guards against an engine that restarts under its ID and is shadowed by its previous incarnation,
// whose late heartbeats have higher sequence numbers. The newest message of the newer incarnation
// takes effect regardless of the order and the path of the messages.
func TestNewerIncarnationWinsInEachOrderOfMessages(t *testing.T) {
	for name, messages := range map[string][]message{
		"crash":   {heartbeat(100, 7, Ready), heartbeat(100, 8, Ready), heartbeat(200, 1, Ready), heartbeat(200, 2, Ready), merged(100, 9, Draining)},
		"planned": {heartbeat(100, 7, Draining), leaving(100), heartbeat(200, 1, Ready), heartbeat(200, 2, Ready), merged(100, 9, Gone)},
		"updates": {merged(100, 7, Ready), merged(100, 30, Expired), merged(200, 1, Ready), heartbeat(200, 2, Ready), heartbeat(100, 31, Ready)},
	} {
		t.Run(name, func(t *testing.T) {
			orders := 0
			permutations(messages, func(order []message) {
				orders++
				registry := New(0)
				description := ""
				for position, one := range order {
					description += "; " + one.name
					// The messages are further apart than heartbeats can be delayed after the end
					// of an unknown incarnation.
					one.send(registry, time.Duration(position)*2*maximumHeartbeatDelay)
				}
				live := registry.Live()
				assert.Equal(t, len(live), 1, description)
				assert.Equal(t, live[0].StartedAt, int64(200), description)
				assert.Equal(t, live[0].State, Ready, description)
			})
			assert.Equal(t, orders, 120)
		})
	}
}

// The instance's clock was set back between two incarnations. The known incarnation first has to
// miss heartbeats for a lease. Then the other one is recorded as the newer one, and stays so.
func TestEarlierStartTimeWinsOnlyAfterTheKnownIncarnationExpired(t *testing.T) {
	control, other := New(10*time.Second), New(10*time.Second)
	heartbeat(200, 50, Ready).send(control, 0)
	other.Merge(0, control.Instances(0))
	heartbeat(100, 1, Ready).send(control, time.Second)
	assert.Equal(t, control.Live()[0].StartedAt, int64(200))
	assert.Equal(t, len(control.Expire(11*time.Second)), 1)
	heartbeat(100, 9, Ready).send(control, 12*time.Second)
	assert.Equal(t, control.Live()[0].StartedAt, int64(100))
	other.Merge(12*time.Second, control.Instances(12*time.Second))
	assert.Equal(t, other.Live()[0].StartedAt, int64(100))
	// Late messages of the other incarnation don't revert this, at either node.
	for _, one := range []*Registry{control, other} {
		heartbeat(200, 60, Ready).send(one, 13*time.Second)
		merged(200, 61, Ready).send(one, 13*time.Second)
		assert.Equal(t, one.Live()[0].StartedAt, int64(100))
	}
	assert.Equal(t, control.Digest(), other.Digest())
}

// The reported end of an unknown instance overrides heartbeats that were still in transit, and not
// an incarnation that starts seconds later.
func TestEndOfAnUnknownInstanceOverridesOnlyLateHeartbeats(t *testing.T) {
	registry := New(0)
	leaving(0).send(registry, 0)
	heartbeat(100, 9, Ready).send(registry, time.Second)
	assert.Equal(t, len(registry.Live()), 0)
	heartbeat(200, 1, Ready).send(registry, maximumHeartbeatDelay+time.Second)
	assert.Equal(t, registry.Live()[0].StartedAt, int64(200))
}

// A control node that restarts from remembered data must not replace a newer incarnation by an
// older one.
func TestRememberedInstanceOfAnEarlierIncarnationChangesNothing(t *testing.T) {
	registry := New(0)
	heartbeat(200, 1, Ready).send(registry, 0)
	assert.Equal(t, len(registry.Merge(0, []Instance{{ID: "i", Service: "llm", Address: "10.0.0.1:1", State: Ready, StartedAt: 100, Sequence: 90}})), 0)
	assert.Equal(t, registry.Live()[0].StartedAt, int64(200))
}

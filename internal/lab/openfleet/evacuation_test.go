package openfleet

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/gateway"
)

// orderInForceWithin is how soon an order for a zone holds at each node in touch.
const orderInForceWithin = time.Second

// requestAll sends some requests of each kind to each entry node and returns when
// it began; all must be served.
func requestAll(t *testing.T, f *Fleet, name string) time.Duration {
	t.Helper()
	since := time.Since(f.Truth.began)
	for _, entry := range f.Names(false) {
		for number, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x", "/safe/x", "/stream/x"} {
			answer, err := f.Request(entry, ask(fmt.Sprintf("%s-%s-%d", name, entry, number), path))
			assert.NilError(t, err)
			assert.Equal(t, answer.Status, http.StatusOK)
		}
	}
	return since
}

// runsInZone counts the runs that began in a zone since a time.
func runsInZone(f *Fleet, zone string, since time.Duration) int {
	count := 0
	for _, run := range f.Truth.Runs() {
		if strings.HasSuffix(run.Instance, "-"+zone) && run.Arrived >= since {
			count++
		}
	}
	return count
}

func TestEvacuatedZoneGetsNothingNewAndFinishesWhatItHas(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *Fleet) {
		for _, zone := range zones {
			f.engines["llm-"+zone].Set(func(e *Engine) { e.Work = 600 * time.Millisecond })
		}
		var streams sync.WaitGroup
		for number := range 6 {
			streams.Go(func() {
				id := fmt.Sprintf("long-%d", number)
				answer, err := f.Request("entry-0", ask(id, "/stream/x"))
				assert.Check(t, err == nil && answer.Broken == nil && answer.Body == events(id, 5), "%v %v", answer, err)
			})
		}
		time.Sleep(time.Second)
		began := time.Now()
		assert.NilError(t, f.OrderZone("a", true, 3*time.Second))
		assert.Assert(t, time.Since(began) < orderInForceWithin, "acknowledged after %s", time.Since(began))
		time.Sleep(orderInForceWithin)
		streams.Wait()
		assert.Assert(t, runsInZone(f, "a", 0) > 0)
		assert.Equal(t, runsInZone(f, "a", requestAll(t, f, "evacuated")), 0)
		// Once more is acknowledged and changes nothing.
		assert.NilError(t, f.OrderZone("a", true, 3*time.Second))
		assert.NilError(t, f.OrderZone("a", false, 3*time.Second))
		time.Sleep(orderInForceWithin)
		assert.Assert(t, runsInZone(f, "a", requestAll(t, f, "restored")) > 0)
	})
}

func TestOrderForAnUnknownZoneIsRefused(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *Fleet) {
		_, err := f.Machine("control-0").running().OrderZone(f.ctx, "nowhere", true)
		assert.Assert(t, errors.Is(err, gateway.ErrUnknownZone), "%v", err)
		assert.ErrorContains(t, err, `"nowhere"`)
	})
}

// The node that acknowledged dies at once, then all machines lose power, one of
// them its disk too.
func TestAcknowledgedEvacuationSurvivesTheLossOfItsNodeAndOfAllPower(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *Fleet) {
		for round, zone := range []string{"a", "b"} {
			taker := f.Names(true)[round]
			assert.NilError(t, f.WaitFor(5*time.Second, "an acknowledgement", func() bool {
				_, err := f.Machine(taker).running().OrderZone(f.ctx, zone, true)
				return err == nil
			}))
			f.PowerOff(taker)
			f.Wipe(taker)
			f.PowerOffAll()
			f.BootAll()
			assert.NilError(t, f.WaitFor(10*time.Second, "all ready", func() bool {
				return f.Ready("entry-0") && f.Ready("entry-1") && f.Ready("entry-2")
			}))
			time.Sleep(4 * time.Second)
			since := requestAll(t, f, "after-"+zone)
			assert.Equal(t, runsInZone(f, zone, since), 0)
		}
		assert.Equal(t, runsInZone(f, "a", time.Since(f.Truth.began)-2*time.Second), 0)
	})
}

// While a node is cut off from all control nodes it can't know of the order; it
// does at once when it is back.
func TestNodeThatWasCutOffDuringAnEvacuationHeedsItOnceItIsBack(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *Fleet) {
		f.Network.CutBetween(f.Names(true), []string{"entry-1"})
		time.Sleep(3 * time.Second)
		assert.NilError(t, f.OrderZone("c", true, 3*time.Second))
		time.Sleep(orderInForceWithin)
		f.Network.Heal()
		time.Sleep(2 * orderInForceWithin)
		assert.Equal(t, runsInZone(f, "c", requestAll(t, f, "back")), 0)
	})
}

// The core is cut in two while orders come to both sides: what was acknowledged
// last holds at all nodes.
func TestOrdersOfTwoOperatorsHaveOneOrder(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *Fleet) {
		for round := range 4 {
			cut := f.Names(true)[round%3]
			f.Network.CutBetween([]string{cut}, f.Names(true))
			var operators sync.WaitGroup
			for _, evacuated := range []bool{true, false} {
				operators.Go(func() { assert.Check(t, f.OrderZone("b", evacuated, 10*time.Second) == nil) })
			}
			operators.Wait()
			f.Network.Heal()
			time.Sleep(3 * time.Second)
			inForce := f.Machine("entry-0").running().EvacuatedZones()
			for _, name := range append(f.Names(true), f.Names(false)...) {
				assert.DeepEqual(t, f.Machine(name).running().EvacuatedZones(), inForce)
			}
		}
	})
}

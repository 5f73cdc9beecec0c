package fleet

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/lab/deployment"
	"github.com/ravenway/ravenway/internal/lab/emulator"
	"github.com/ravenway/ravenway/internal/lab/load"
)

// requestOrder requests an order for a back end, to load an adapter, through a node. It returns the order's
// fence number, which grows with each order, so that a back end can refuse outdated ones.
func requestOrder(t *testing.T, f *Fleet, through, id, backend, target string) uint64 {
	t.Helper()
	response, err := f.OperatorClient(through).Order(context.Background(), connect.NewRequest(&ravenwayv1.OrderRequest{
		OperationId: id, Backend: backend, Kind: ravenwayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER, Target: target, Version: "1",
	}))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetRefused(), "")
	return response.Msg.GetStatus().GetFence()
}

func waitForOrder(t *testing.T, f *Fleet, through string, fence uint64, state string) {
	t.Helper()
	last := ""
	err := f.WaitFor(30*time.Second, "the state of the order", func() bool {
		response, err := f.OperatorClient(through).GetOrders(context.Background(), connect.NewRequest(&ravenwayv1.GetOrdersRequest{}))
		if err != nil {
			return false
		}
		for _, order := range response.Msg.GetOrders() {
			if order.GetFence() == fence {
				last = order.GetState()
			}
		}
		return last == state
	})
	assert.NilError(t, err, "order %d has state %q", fence, last)
}

func orderDeliveries(f *Fleet, fence uint64) int {
	count := 0
	for _, event := range f.Emulator.Truth.Events() {
		if event.Kind == emulator.EventOrder && event.Fence == fence {
			count++
		}
	}
	return count
}

// Guards against an order that is given twice because it is resent, because the leader does not receive
// the back end's response, or because the leader crashes; both for back ends that check the fence number
// and for those that do not.
func TestOrderIsGivenOnceAcrossLeaderLossAndResend(t *testing.T) {
	withFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
		for _, backend := range []string{"qalam-llm-01", "qalam-llm-02"} {
			id := "load-" + backend
			fence := requestOrder(t, f, "lhr-b-2", id, backend, "adapter-7")
			assert.Equal(t, requestOrder(t, f, "lhr-c-2", id, backend, "adapter-7"), fence)
			waitForOrder(t, f, "lhr-b-1", fence, "done")
			assert.Equal(t, orderDeliveries(f, fence), 1)
		}
		// The leader does not receive the back ends' responses and then crashes.
		for _, zone := range f.Plan.Zones {
			f.Network.PartitionOneWay(zoneMachine(zone), "lhr-a-1")
		}
		first := requestOrder(t, f, "lhr-a-1", "unheard", "qalam-llm-02", "adapter-8")
		time.Sleep(3 * time.Second)
		f.Kill("lhr-a-1")
		f.Network.Heal()
		waitForOrder(t, f, "lhr-b-1", first, "done")
		assert.Equal(t, orderDeliveries(f, first), 1)
		assert.NilError(t, f.Boot("lhr-a-1"))
	})
}

// Guards against overloading the weight store when many back ends load adapters: a few load at the same
// time, the others wait at the leader instead of in the store.
func TestAdapterLoadsDoNotOverloadTheWeightStore(t *testing.T) {
	withFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
		var fences []uint64
		for _, backend := range f.Plan.Catalog().GetBackends()[:f.Plan.Engines] {
			fences = append(fences, requestOrder(t, f, "lhr-a-1", "all-"+backend.GetName(), backend.GetName(), "adapter-9"))
		}
		for _, fence := range fences {
			waitForOrder(t, f, "lhr-b-1", fence, "done")
			assert.Equal(t, orderDeliveries(f, fence), 1)
		}
		assert.Assert(t, f.Emulator.Weights.DelayedLoads() <= f.Plan.Engines/2, "%d loads waited in the weight store", f.Emulator.Weights.DelayedLoads())
	})
}

// Guards against an outdated order: of two orders of a kind to one back end only the later one is given.
func TestLaterOrderSupersedesEarlierOne(t *testing.T) {
	withFleet(t, deployment.Drukwacht(), func(t *testing.T, f *Fleet) {
		f.Emulator.SetDown("model-pool-01", true)
		earlier := requestOrder(t, f, "hall-a-1", "earlier", "model-pool-01", "adapter-1")
		later := requestOrder(t, f, "hall-b-1", "later", "model-pool-01", "adapter-2")
		assert.Assert(t, later > earlier)
		f.Emulator.SetDown("model-pool-01", false)
		waitForOrder(t, f, "hall-c-1", later, "done")
		waitForOrder(t, f, "hall-c-1", earlier, "superseded")
		assert.Equal(t, orderDeliveries(f, earlier), 0)
	})
}

// Guards against streams that break or run twice when their connections to the back end break: they are
// resumed at their offset, and callers don't notice.
func TestBrokenStreamIsResumedAtItsOffset(t *testing.T) {
	withFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
		result := make(chan string, 1)
		go func() {
			response := f.LoadClient().Send(context.Background(), f.EntryAddress("lhr-a-2"), billedRequest(f, "broken"))
			result <- string(response.Outcome) + response.Detail
		}()
		for range 5 {
			time.Sleep(200 * time.Millisecond)
			for _, zone := range f.Plan.Zones {
				f.Network.BreakConnections(zoneMachine(zone))
			}
		}
		assert.Equal(t, <-result, "whole")
		count, tokens := runsOf(f, "tenant-04")
		assert.Equal(t, count, 1)
		waitUntilSettled(t, f, "tenant-04", tokens)
	})
}

// Guards against a stream that continues at a process that did not begin it, for example one of another
// version that has taken the address of the first: its request is not known there.
func TestStreamOfARestartedBackendIsNotResumed(t *testing.T) {
	withFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
		result := make(chan load.Result, 1)
		go func() {
			result <- f.LoadClient().Send(context.Background(), f.EntryAddress("lhr-a-2"), billedRequest(f, "restarted"))
		}()
		time.Sleep(400 * time.Millisecond)
		restarted := 0
		for _, backend := range f.Plan.Catalog().GetBackends() {
			if engine := f.Emulator.Engine(backend.GetName()); engine != nil && engine.ActiveRequests() > 0 {
				engine.Restart()
				restarted++
			}
		}
		for _, zone := range f.Plan.Zones {
			f.Network.BreakConnections(zoneMachine(zone))
		}
		assert.Equal(t, restarted, 1)
		got := <-result
		assert.Assert(t, got.Outcome != load.Complete && got.Outcome != load.Wrong, "%s %s", got.Outcome, got.Detail)
		count, _ := runsOf(f, "tenant-04")
		assert.Equal(t, count, 1)
	})
}

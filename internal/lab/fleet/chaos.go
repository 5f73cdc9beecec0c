package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/lab/load"
	"github.com/ravenway/ravenway/internal/pause"
)

// Chaos runs a seeded sequence of random faults under load.
type Chaos struct {
	fleet  *Fleet
	random *rand.Rand
	// Faults counts the injected faults, by kind.
	Faults map[string]int
	// down is the machine that is killed at present, "" if there is none.
	down string
	// topUps is the number of distinct top-up commands sent. Each adds 1000 tokens to the budget of
	// tenant-10.
	topUps uint64
}

// NewChaos returns a chaos run against a fleet.
func NewChaos(f *Fleet, seed uint64) *Chaos {
	return &Chaos{fleet: f, random: rand.New(rand.NewPCG(seed, 77)), Faults: map[string]int{}}
}

// Run sends load and injects faults for a time, repairs all of them, and checks the fleet's guarantees
// against the ground truth.
func (c *Chaos) Run(seed uint64, duration time.Duration) (load.Report, error) {
	responses := &ResponseLog{}
	faultsEnded := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	go func() {
		err := c.injectFaults(ctx)
		// Streams in a partition that never ends would block the load forever.
		c.fleet.Network.Heal()
		faultsEnded <- err
	}()
	report, err := load.Run(context.Background(), load.Options{
		Entries: c.fleet.EntryAddresses(c.fleet.MachineNames...), Mix: c.fleet.Mix(seed), Rate: 20, Duration: duration, Seed: seed,
		Client: c.fleet.LoadClient(), Retry: true, Done: responses.Record,
	})
	if err != nil {
		return report, err
	}
	if err := <-faultsEnded; err != nil {
		return report, err
	}
	if err := c.repair(); err != nil {
		return report, err
	}
	if err := c.fleet.CheckGuarantees(responses, 3*time.Minute); err != nil {
		return report, err
	}
	return report, c.checkTopUps()
}

// injectFaults injects random faults one after the other until the context is done. Their effects may
// overlap.
func (c *Chaos) injectFaults(ctx context.Context) error {
	for pause.For(ctx, time.Duration(500+c.random.IntN(3000))*time.Millisecond) {
		if err := c.injectFault(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Chaos) injectFault() error {
	f := c.fleet
	switch c.random.IntN(8) {
	case 0, 1:
		return c.killOrBoot()
	case 2:
		c.countFault("zone partition")
		f.PartitionZone(f.Plan.Zones[c.random.IntN(len(f.Plan.Zones))])
	case 3:
		c.countFault("heal")
		f.Network.Heal()
	case 4:
		c.countFault("one-way partition")
		f.Network.PartitionOneWay(c.anyNode(), c.anyNode())
	case 5:
		c.countFault("broken connections")
		f.Network.BreakConnections(zoneMachine(f.Plan.Zones[c.random.IntN(len(f.Plan.Zones))]))
	case 6:
		c.countFault("slow engine")
		f.Emulator.Engine(f.Plan.Catalog().GetBackends()[c.random.IntN(f.Plan.Engines)].GetName()).SetSlowdown(1 + c.random.IntN(4))
	case 7:
		c.topUpTwice()
	}
	return nil
}

func (c *Chaos) countFault(kind string) { c.Faults[kind]++ }

func (c *Chaos) anyNode() string {
	return c.fleet.MachineNames[c.random.IntN(len(c.fleet.MachineNames))]
}

// killOrBoot boots the machine that is down, or kills one if none is. At most one is down at a time: the
// fleet does not tolerate the loss of two of a key's three acceptors, which hold its claim (the record of
// who runs the key's request) in memory.
func (c *Chaos) killOrBoot() error {
	f := c.fleet
	if c.down != "" {
		name := c.down
		c.down = ""
		return f.Boot(name)
	}
	if !c.allRecovered() {
		return nil
	}
	name := c.anyNode()
	hasAllVoters := f.HasAllVoters()
	f.Kill(name)
	c.down = name
	c.countFault("kill")
	if f.machines[name].IsControl && hasAllVoters && c.random.IntN(2) == 0 {
		c.countFault("lost disk")
		f.EraseDisk(name)
	}
	return nil
}

// allRecovered reports whether the claims of all nodes have recovered.
func (c *Chaos) allRecovered() bool {
	for _, name := range c.fleet.MachineNames {
		if !c.fleet.machines[name].node.ClaimsRecovered() {
			return false
		}
	}
	return true
}

// topUpTwice sends the same top-up command twice, as an operator does after a lost response.
func (c *Chaos) topUpTwice() {
	c.countFault("resent command")
	c.topUps++
	id := fmt.Sprintf("chaos-%d", c.topUps)
	for range 2 {
		go func() { _ = c.fleet.TopUp(c.fleet.MachineNames[0], "tenant-10", 1000, id) }()
	}
}

func (c *Chaos) repair() error {
	f := c.fleet
	f.Network.Heal()
	if c.down != "" {
		if err := f.Boot(c.down); err != nil {
			return err
		}
		c.down = ""
	}
	for number := range f.Plan.Engines {
		f.Emulator.Engine(f.Plan.Catalog().GetBackends()[number].GetName()).SetSlowdown(1)
	}
	return f.WaitFor(time.Minute, "the repair after the faults", f.HasAllVoters)
}

// checkTopUps sends each top-up command a third time and checks that each was applied once.
func (c *Chaos) checkTopUps() error {
	for number := range c.topUps {
		if err := c.fleet.TopUp(c.fleet.MachineNames[len(c.fleet.MachineNames)-1], "tenant-10", 1000, fmt.Sprintf("chaos-%d", number+1)); err != nil {
			return err
		}
	}
	response, err := c.fleet.operators[c.fleet.MachineNames[0]].GetBudgets(c.fleet.ctx, connect.NewRequest(&ravenwayv1.GetBudgetsRequest{Budget: "tenant-10-prepaid"}))
	if err != nil {
		return err
	}
	expected := c.fleet.Plan.TenantLimit("tenant-10") + 1000*c.topUps
	if limit := response.Msg.GetBudgets()[0].GetLimit(); limit != expected {
		return fmt.Errorf("%d commands sent three times each resulted in a limit of %d instead of %d", c.topUps, limit, expected)
	}
	return nil
}

package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/coordination/routing"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/engine"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/protocol/platform"
)

// directPollLimit is the number of engines up to which every node polls all of them. Beyond it, the
// nodes of a zone divide the zone's engines among them and exchange the reports. Of an engine in
// another zone, a node then knows only its own requests there.
const directPollLimit = 64

// pollersPerEngine is the number of nodes of a zone that poll one engine, so that its reports
// continue when one of them fails.
const pollersPerEngine = 2

// enginesToPoll returns the engines that this node polls.
func (b *backendsDuty) enginesToPoll() []routing.Backend {
	engines := b.engines()
	if len(engines) <= directPollLimit {
		return engines
	}
	nodes := b.node.acceptors.InZone(b.node.zone)
	var share []routing.Backend
	for _, target := range engines {
		if target.Zone != b.node.zone {
			continue
		}
		pollers := membership.Rank(target.Name, nodes)
		if slices.Contains(pollers[:min(pollersPerEngine, len(pollers))], b.node.name) {
			share = append(share, target)
		}
	}
	return share
}

// pollReports polls the engines for load and cache events every reportInterval.
func (b *backendsDuty) pollReports(ctx context.Context) {
	for pause.For(ctx, reportInterval) {
		b.pollRound(ctx, b.enginesToPoll())
	}
}

// pollRound polls the given engines, and sends their reports to the other nodes of the zone if the
// zone's nodes divide its engines among them.
func (b *backendsDuty) pollRound(ctx context.Context, targets []routing.Backend) {
	var polls sync.WaitGroup
	slots := make(chan struct{}, maximumConcurrentPolls)
	reports := make([]peer.BackendReport, len(targets))
	for position, target := range targets {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			reports[position] = b.pollEngine(ctx, target)
		})
	}
	polls.Wait()
	reports = slices.DeleteFunc(reports, func(report peer.BackendReport) bool { return report.Backend == "" })
	if len(b.engines()) <= directPollLimit || len(reports) == 0 {
		return
	}
	for _, name := range b.node.acceptors.InZone(b.node.zone) {
		if name != b.node.name {
			b.node.send(name, peer.KindReports, &peer.BackendReports{Reports: reports})
		}
	}
}

// handleReports records engine reports that another node of the zone has polled.
func (b *backendsDuty) handleReports(message peer.BackendReports) {
	b.duty.Offer(func() {
		for _, report := range message.Reports {
			b.table.SetReport(b.node.now(), report.Backend, routing.Report{
				Running: report.Running, Queued: report.Queued, Leaving: report.Leaving,
				OwnInFlight: b.table.InFlight(report.Backend),
			})
		}
	})
}

// pollEngine polls one engine. The report is empty if the engine did not respond.
func (b *backendsDuty) pollEngine(ctx context.Context, target routing.Backend) peer.BackendReport {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	ownInFlight, err := duty.Call(ctx, b.duty, func(reply func(int)) { reply(b.table.InFlight(target.Name)) })
	if err != nil {
		return peer.BackendReport{}
	}
	load, err := b.node.engines.Load(ctx, target.Address)
	if err != nil {
		return peer.BackendReport{}
	}
	report := routing.Report{Running: load.Running, Queued: load.Queued, Leaving: load.Leaving, OwnInFlight: ownInFlight}
	from, err := duty.Call(ctx, b.duty, func(reply func(uint64)) {
		b.table.SetReport(b.node.now(), target.Name, report)
		reply(b.table.NextCacheEvent(target.Name))
	})
	if err == nil {
		b.pollCacheEvents(ctx, target, from)
	}
	return peer.BackendReport{Backend: target.Name, Running: load.Running, Queued: load.Queued, Leaving: load.Leaving}
}

func (b *backendsDuty) pollCacheEvents(ctx context.Context, target routing.Backend, from uint64) {
	page, err := b.node.engines.CacheEvents(ctx, target.Address, from)
	if err != nil || len(page.Events) == 0 {
		return
	}
	_ = b.duty.Do(ctx, func() { b.table.ApplyCacheEvents(target.Name, cacheEvents(page)) })
}

func cacheEvents(page engine.CacheEvents) []routing.CacheEvent {
	events := make([]routing.CacheEvent, len(page.Events))
	for position, event := range page.Events {
		events[position] = routing.CacheEvent{Sequence: event.Sequence, Block: event.Block, Evicted: event.Evicted}
	}
	return events
}

// pollPlatform reads the platform's list of machines and marks the back ends on those that are
// leaving.
func (b *backendsDuty) pollPlatform(ctx context.Context) {
	url := b.node.settings.Platform.MachinesURL
	if url == "" {
		return
	}
	client := &http.Client{Transport: b.node.backendHTTP, Timeout: pollTimeout}
	known := ""
	for pause.For(ctx, platformInterval) {
		list, err := platform.Fetch(ctx, client, url)
		if err != nil {
			continue
		}
		var leaving []string
		for _, machine := range list.Machines {
			if machine.State == platform.MachineLeaving {
				leaving = append(leaving, machine.Name)
			}
		}
		slices.Sort(leaving)
		if text := fmt.Sprint(leaving); text != known {
			known = text
			b.node.log.Info().Str("event", "platform_leaving").Strs("backends", leaving).Send()
		}
		_ = b.duty.Do(ctx, func() { b.table.SetLeaving(leaving) })
	}
}

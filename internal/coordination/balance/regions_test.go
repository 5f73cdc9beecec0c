package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

func TestRegionsOfRouteAndTenantBothApply(t *testing.T) {
	assert.Assert(t, !IntersectRegions(nil, nil).IsRestricted)
	assert.DeepEqual(t, IntersectRegions([]string{"b", "a", "b"}), Regions{Names: []string{"a", "b"}, IsRestricted: true})
	assert.DeepEqual(t, IntersectRegions(nil, []string{"a"}), Regions{Names: []string{"a"}, IsRestricted: true})
	assert.DeepEqual(t, IntersectRegions([]string{"a", "b"}, []string{"b", "c"}).Names, []string{"b"})
	nowhere := IntersectRegions([]string{"a"}, []string{"b"})
	assert.Assert(t, nowhere.IsRestricted && !nowhere.Contains("a") && !nowhere.Contains("b"))
	assert.Assert(t, !IntersectRegions([]string{"a"}).Contains(""), "a zone whose region is not known")
	assert.Assert(t, IntersectRegions().Contains(""))
}

// Neither the first choice of a request nor a later one is outside its regions, regardless of the
// fleet, the state of its instances and the order of the choices.
func TestNoChoiceLeavesTheAllowedRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regionOfZone, regionNames := map[string]string{}, []string{"north", "south", "west"}
		for zone := range 6 {
			if region := rapid.IntRange(0, len(regionNames)).Draw(t, "region"); region < len(regionNames) {
				regionOfZone[fmt.Sprint("zone-", zone)] = regionNames[region]
			}
		}
		table := NewTable("zone-0")
		table.SetRegions(regionOfZone)
		var instances []registry.Instance
		for number := range rapid.IntRange(1, 12).Draw(t, "instances") {
			instances = append(instances, registry.Instance{
				ID: fmt.Sprint("i-", number), Service: "llm", Zone: fmt.Sprint("zone-", rapid.IntRange(0, 6).Draw(t, "zone")), Slots: 4, State: registry.Ready,
			})
		}
		table.Apply(instances)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		regions := IntersectRegions(rapid.SliceOfN(rapid.SampledFrom(regionNames), 0, 2).Draw(t, "route"), rapid.SliceOfN(rapid.SampledFrom(regionNames), 0, 2).Draw(t, "tenant"))
		allowed := slices.ContainsFunc(instances, func(one registry.Instance) bool { return regions.Contains(regionOfZone[one.Zone]) })
		assert.Equal(t, table.HasInRegions("llm", regions), allowed)
		for step := range 40 {
			request := Request{Service: "llm", Regions: regions}
			if random.IntN(2) == 0 {
				request.PromptPart, request.Tokens, request.SharedTokens = fmt.Sprint("part-", random.IntN(3)), 1000, 500
			}
			now := time.Duration(step) * 100 * time.Millisecond
			for {
				choice, found := table.Choose(now, request)
				if !found {
					assert.Assert(t, !allowed || len(request.Exclude) > 0)
					break
				}
				assert.Assert(t, regions.Contains(regionOfZone[choice.Zone]), "%s is in region %q", choice.ID, regionOfZone[choice.Zone])
				outcome := Outcome(random.IntN(int(Replaced)))
				table.Done(now, choice, outcome)
				request.Exclude = append(request.Exclude, choice.ID)
			}
		}
	})
}

package streamversion

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

var (
	originV1 = Origin{Service: "llm", Version: "v1"}
	originV2 = Origin{Service: "llm", Version: "v2"}
)

// maximumStoreBytes is the memory that records may take on a node.
const maximumStoreBytes = 16 << 20

func recordOf(tenant, attempt string, origin Origin) Record {
	return Record{Key: KeyOf(tenant, attempt), Owner: OwnerOf(tenant), Origin: origin, Lifetime: 30 * time.Second}
}

// Guards against streams of two tenants, or of two attempts, that share a key.
func TestKeysOfTenantsAndAttemptsDiffer(t *testing.T) {
	keys := map[Key]string{}
	for _, pair := range [][2]string{{"a", "b"}, {"ab", ""}, {"", "ab"}, {"b", "a"}, {"a", "bb"}, {"ab", "b"}, {"a", "b\x00"}} {
		key := KeyOf(pair[0], pair[1])
		assert.Assert(t, keys[key] == "", "%q and %s", pair, keys[key])
		keys[key] = fmt.Sprintf("%q", pair)
	}
}

// Guards against records that are dropped while their streams can last, or kept after that.
func TestRecordIsKeptForItsLifetime(t *testing.T) {
	store := NewStore(0)
	record := recordOf("t", "r", originV1)
	store.Put(0, record)
	answer := store.Find(29*time.Second, record.Key)
	assert.Equal(t, answer, Answer{IsKnown: true, Service: "llm", Version: "v1", AgeMS: 29_000})
	store.Put(20*time.Second, record)
	assert.Assert(t, store.Find(49*time.Second, record.Key).IsKnown, "it was recorded again")
	assert.Assert(t, !store.Find(50*time.Second, record.Key).IsKnown)
	store.Prune(50 * time.Second)
	count, _ := store.Count()
	assert.Equal(t, count, 0)
	assert.Equal(t, len(store.List()), 0)
	store.Put(60*time.Second, recordOf("t", "r", originV2))
	assert.Equal(t, store.Find(60*time.Second, record.Key).Version, "v2", "the ID is used again after the lifetime")
}

// Guards against a guess between two streams with the same ID.
func TestStreamWithTwoOriginsIsAmbiguous(t *testing.T) {
	store := NewStore(0)
	store.Put(0, recordOf("t", "r", originV1))
	store.Put(time.Second, recordOf("t", "r", originV2))
	store.Put(time.Second, recordOf("t", "r", originV1))
	answer := store.Find(2*time.Second, KeyOf("t", "r"))
	assert.Assert(t, answer.IsKnown && answer.IsAmbiguous && answer.Version == "")
}

// Guards against a tenant whose flood of streams makes nodes forget those of others.
func TestFloodDropsTheStreamsOfItsOwnTenant(t *testing.T) {
	const capacity = 1000
	store := NewStore(capacity)
	for number := range 100 {
		store.Put(0, recordOf("calm", fmt.Sprint(number), originV1))
	}
	for number := range 20 * capacity {
		store.Put(time.Second, recordOf("flood", fmt.Sprint(number), originV1))
	}
	for number := range 100 {
		assert.Assert(t, store.Find(time.Second, KeyOf("calm", fmt.Sprint(number))).IsKnown, "%d", number)
	}
	assert.Assert(t, store.Find(time.Second, KeyOf("flood", fmt.Sprint(20*capacity-1))).IsKnown, "the newest is kept")
	count, dropped := store.Count()
	assert.Equal(t, count, capacity)
	assert.Equal(t, dropped, uint64(20*capacity-capacity+100))
	store.Prune(time.Hour)
	count, _ = store.Count()
	assert.Equal(t, count, 0)
	assert.Equal(t, len(store.owners)+len(store.origins), 0)
}

// Guards against a tenant that makes nodes use memory without bound, by a flood of streams or by IDs that it
// uses again.
func TestMemoryOfAStoreIsBoundedByItsCapacity(t *testing.T) {
	for name, put := range map[string]func(store *Store, number int){
		"a flood": func(store *Store, number int) {
			store.Put(0, recordOf("flood", fmt.Sprint(number), originV1))
		},
		"IDs used again": func(store *Store, number int) {
			store.Put(time.Duration(number)*time.Minute, recordOf("reuse", fmt.Sprint(number%3), originV1))
		},
	} {
		store := NewStore(0)
		used := heapGrowth(func() {
			for number := range 12 * MaximumRecords {
				put(store, number)
			}
		})
		runtime.KeepAlive(store)
		t.Logf("%s: %.0f bytes", name, used)
		assert.Assert(t, used < maximumStoreBytes, "%s: %.0f bytes", name, used)
	}
}

// Guards against a tenant that makes up attempts and so fills the links of the nodes that are asked, and
// against one that keeps other tenants' streams from being found.
func TestLookupsOfATenantAreLimited(t *testing.T) {
	var limit LookupLimit
	allowed := func(now time.Duration, owner Owner, attempts int) int {
		count := 0
		for range attempts {
			if limit.Allow(now, owner) {
				count++
			}
		}
		return count
	}
	assert.Equal(t, allowed(0, 1, 10*maximumLookups), maximumLookups)
	assert.Equal(t, allowed(999*time.Millisecond, 1, 10), 0)
	assert.Equal(t, allowed(999*time.Millisecond, 2, 10), 10)
	assert.Equal(t, allowed(time.Second, 1, 10), 10)
	assert.Equal(t, len(limit.counts), 1, "tenants of the last second are forgotten")
}

// Guards against a store whose lists of owners and origins no longer match its records.
func TestStoreStaysConsistent(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(60, seed))
		store := NewStore(40)
		for step := range 600 {
			now := time.Duration(step) * 100 * time.Millisecond
			record := recordOf(fmt.Sprint(random.IntN(4)), fmt.Sprint(random.IntN(80)), Origin{Service: "llm", Version: fmt.Sprint(random.IntN(3))})
			record.Lifetime = time.Duration(random.IntN(8)) * time.Second
			store.Put(now, record)
			if random.IntN(10) == 0 {
				store.Prune(now)
			}
			live, origins, largest := 0, 0, 0
			for owner, of := range store.owners {
				for place := of.records.Front(); place != nil; place = place.Next() {
					one := place.Value.(*held)
					assert.Assert(t, store.records[one.key] == one && one.owned == of && of.owner == owner, "seed %d, step %d", seed, step)
				}
				live += of.records.Len()
				largest = max(largest, of.records.Len())
			}
			assert.Equal(t, len(store.largest), len(store.owners), "seed %d, step %d", seed, step)
			if largest > 0 {
				assert.Equal(t, store.largest[0].records.Len(), largest, "seed %d, step %d", seed, step)
			}
			for _, listed := range store.List() {
				origins += listed.Streams
			}
			assert.Assert(t, live == len(store.records) && origins == live && live <= 40, "seed %d, step %d: %d, %d, %d", seed, step, live, origins, len(store.records))
		}
	}
}

// Guards against messages of other builds, or of a node with a fault, that take memory or stop a node.
func TestInvalidMessagesAreRefused(t *testing.T) {
	batch := NewBatch([]Record{recordOf("t", "1", originV1), recordOf("t", "2", originV1), recordOf("u", "3", originV2)})
	assert.Equal(t, len(batch.Groups), 2)
	records, err := batch.Records()
	assert.NilError(t, err)
	assert.Equal(t, len(records), 3)
	for name, group := range map[string]Group{
		"a part of a key": {Keys: make([]byte, 17)}, "a long name": {Service: string(make([]byte, 513))},
		"a long lifetime": {LifetimeMS: 1 << 40}, "many keys": {Keys: make([]byte, keyBytes*(maximumBatchRecords+1))},
	} {
		_, err := Batch{Groups: []Group{group}}.Records()
		assert.ErrorIs(t, err, errInvalid, name)
	}
	_, err = Question{Key: make([]byte, 3)}.ReadKey()
	assert.ErrorIs(t, err, errInvalid)
	assert.Equal(t, Question{LifetimeMS: 1 << 60}.Lifetime(), MaximumLifetime)
}

func FuzzBatch(f *testing.F) {
	encoded, _ := msgpack.Marshal(NewBatch([]Record{recordOf("t", "1", originV1)}))
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch Batch
		if msgpack.Unmarshal(data, &batch) != nil {
			return
		}
		records, err := batch.Records()
		if err == nil {
			again, err := NewBatch(records).Records()
			assert.NilError(t, err)
			assert.Equal(t, len(again), len(records))
		}
	})
}

// fleetMembers returns the view of one node of a fleet with entry nodes and control nodes spread evenly
// over zones.
func fleetMembers(self, entries, controls, zones int) Members {
	node := func(kind string, number int) Node {
		return Node{Address: fmt.Sprintf("%s-%d:7000", kind, number), Zone: fmt.Sprint("zone-", number%zones)}
	}
	members := Members{Self: node("entry", self)}
	for number := range entries {
		members.Entries = append(members.Entries, node("entry", number))
	}
	for number := range controls {
		members.Controls = append(members.Controls, node("control", number))
	}
	return members
}

// Guards against records that are kept in one zone or at one node only, and against holders that are not
// asked.
func TestHoldersAreInTwoZonesAndAreAsked(t *testing.T) {
	for _, size := range []struct{ entries, controls, zones int }{{8, 3, 3}, {71, 6, 3}, {985, 25, 28}} {
		const records = 400
		holders := map[string]int{}
		members := fleetMembers(0, size.entries, size.controls, size.zones)
		for number := range records {
			key := KeyOf("t", fmt.Sprint(number))
			self := number % size.entries
			members.Self = members.Entries[self]
			zone := members.Self.Zone
			chosen := members.Holders(key)
			assert.Assert(t, len(chosen) >= 3 && len(chosen) <= zoneHolders+remoteHolders+controlHolders, "%v", chosen)
			assert.Assert(t, !slices.Contains(chosen, members.Self.Address), "a node sends records to itself")
			for _, holder := range chosen {
				holders[holder]++
			}
			// A node of the same zone asks all of the zone's and the control nodes, one of any other zone
			// the control nodes.
			members.Self = members.Entries[(self+size.zones)%size.entries]
			if members.Self.Zone == zone {
				asked := members.Asked(key)
				for _, holder := range members.inZoneAndControl(chosen) {
					assert.Assert(t, holder == members.Self.Address || slices.Contains(asked, holder), "%s is not asked", holder)
				}
			}
			members.Self = members.Entries[(self+1)%size.entries]
			asked := members.Asked(key)
			for _, holder := range chosen {
				assert.Assert(t, !strings.HasPrefix(holder, "control") || slices.Contains(asked, holder), "%s is not asked", holder)
			}
		}
		for holder, count := range holders {
			expected := records * max(float64(controlHolders)/float64(size.controls), float64(zoneHolders+remoteHolders)/float64(size.entries))
			assert.Assert(t, float64(count) < 1.5*expected+15, "%s holds %d of %d", holder, count, records)
		}
	}
}

// inZoneAndControl returns those of the addresses that are control nodes or entry nodes of this node's zone.
func (m Members) inZoneAndControl(addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		isOther := func(one Node) bool { return one.Address == address && one.Zone != m.Self.Zone }
		return slices.ContainsFunc(m.Entries, isOther)
	})
}

// Guards against records that are not found while nodes join and leave.
func TestHoldersAreAskedWhileNodesJoinAndLeave(t *testing.T) {
	for number := range 500 {
		key := KeyOf("t", fmt.Sprint(number))
		sender := fleetMembers(0, 12, 3, 3)
		chosen := sender.Holders(key)
		asker := fleetMembers(3, 12, 3, 3)
		// One more node of the zone has joined, and one has left.
		asker.Entries = append(asker.Entries, Node{Address: "joined:7000", Zone: "zone-0"})
		asker.Entries = slices.DeleteFunc(asker.Entries, func(one Node) bool { return one.Address == "entry-6:7000" })
		asked := asker.Asked(key)
		found := slices.ContainsFunc(chosen, func(holder string) bool { return slices.Contains(asked, holder) })
		assert.Assert(t, found, "%v asked, %v hold it", asked, chosen)
	}
}

// Guards against fleets that are too small for all holders.
func TestSmallFleetsHaveTheHoldersThatThereAre(t *testing.T) {
	key := KeyOf("t", "r")
	assert.Equal(t, len(Members{Self: Node{Address: "only", Zone: "a"}}.Holders(key)), 0)
	assert.Equal(t, len(Members{Self: Node{Address: "only", Zone: "a"}}.Asked(key)), 0)
	two := Members{Self: Node{Address: "one", Zone: "a"}, Controls: []Node{{Address: "one", Zone: "a"}, {Address: "two", Zone: "b"}}}
	assert.DeepEqual(t, two.Holders(key), []string{"two"})
}

// Guards against a guess about a stream without a record: by a node that has just started, was partitioned
// or knows of two versions.
func TestOnlyVersionNeedsEvidenceOfTheWholePeriod(t *testing.T) {
	const period = 24 * time.Second
	history := NewHistory()
	expect := func(now time.Duration, want bool, why string) {
		t.Helper()
		version, isOnly := history.OnlyVersion(now, "llm", period)
		assert.Assert(t, isOnly == want && (!want || version == "v1"), "%s: %q %v", why, version, isOnly)
	}
	listed := func(now time.Duration, versions ...string) {
		for _, version := range versions {
			history.Listed(now, "llm", version)
		}
	}
	history.SetInformed(0, true)
	listed(0, "v1")
	listed(20*time.Second, "v1")
	expect(20*time.Second, false, "started less than the period ago")
	listed(25*time.Second, "v1")
	expect(25*time.Second, true, "informed for the period")
	history.SetInformed(30*time.Second, false)
	listed(30*time.Second, "v1")
	expect(31*time.Second, false, "partitioned")
	history.SetInformed(32*time.Second, true)
	listed(55*time.Second, "v1")
	expect(55*time.Second, false, "partitioned within the period")
	listed(57*time.Second, "v1")
	expect(57*time.Second, true, "informed again")
	listed(60*time.Second, "v1", "v2")
	expect(61*time.Second, false, "two versions")
	listed(80*time.Second, "v1")
	expect(83*time.Second, false, "an instance of the other version ended within the period")
	listed(85*time.Second, "v1")
	expect(85*time.Second, true, "one version for the period")
	_, isOnly := history.OnlyVersion(85*time.Second, "other", period)
	assert.Assert(t, !isOnly, "a service without instances")
	history.SetInformed(85*time.Second, false)
	assert.Assert(t, history.HasSeveralVersions(84*time.Second, "llm", period) && !history.HasSeveralVersions(85*time.Second, "llm", period))
	history.Prune(85*time.Second + 2*MaximumLifetime)
	assert.Equal(t, len(history.listedAt), 0)
}

// Guards against a conclusion from nodes of which some did not respond or disagree.
func TestSurveyNeedsAllAnswers(t *testing.T) {
	only := Answer{OnlyVersion: "v1", HasOnlyVersion: true}
	survey := func(asked int, answers ...Answer) (string, bool, bool) {
		made := Survey{Asked: asked}
		for _, answer := range answers {
			made.Add(answer, true)
		}
		made.Add(Answer{OnlyVersion: "v9", HasOnlyVersion: true}, false)
		version, isOnly := made.OnlyVersion()
		return version, isOnly, made.IsComplete()
	}
	version, isOnly, isComplete := survey(3, Answer{}, only, only)
	assert.Assert(t, version == "v1" && isOnly && isComplete)
	_, isOnly, isComplete = survey(3, only, only)
	assert.Assert(t, !isOnly && !isComplete)
	_, isOnly, isComplete = survey(2, only, Answer{OnlyVersion: "v2", HasOnlyVersion: true})
	assert.Assert(t, !isOnly && isComplete)
	_, isOnly, isComplete = survey(2, only, Answer{HasSeveralVersions: true})
	assert.Assert(t, !isOnly && isComplete, "one node has seen another version already")
	_, isOnly, isComplete = survey(2, Answer{}, Answer{})
	assert.Assert(t, !isOnly && isComplete)
	_, isOnly, isComplete = survey(0)
	assert.Assert(t, !isOnly && !isComplete)
	alone := Survey{}
	alone.AddOwn(only)
	version, isOnly = alone.OnlyVersion()
	assert.Assert(t, version == "v1" && isOnly && !alone.IsComplete(), "the only node of a fleet")
}

// The load of the largest fleet: 11,000 requests a second, half of them streams of 15 s.
const (
	streamsPerSecond = 5500
	linkBytes        = 10e6 / 8
)

// Guards against records that take a noticeable share of the largest fleet's entry nodes' links or memory.
func TestRecordsOfTheLargestFleetTakeLittle(t *testing.T) {
	perRecord := bytesPerRecord(t)
	for _, size := range []struct{ entries, controls, zones int }{{8, 3, 3}, {71, 6, 3}, {961, 25, 28}} {
		perSecond := float64(streamsPerSecond) * float64(size.entries) / 961
		perNode := perSecond / float64(size.entries)
		// Each record in a message of its own, with the envelope's and the frame's bytes.
		encoded, err := msgpack.Marshal(NewBatch([]Record{recordOf("a-tenant", "r", Origin{Service: "model-pool", Version: "v1.12.3"})}))
		assert.NilError(t, err)
		const envelope = 16
		sent := perNode * (zoneHolders + remoteHolders + controlHolders) * float64(len(encoded)+envelope)
		t.Logf("%d entry nodes: %d bytes a record, %.0f bytes a second sent by each, %.0f records of %.0f bytes held by each", size.entries, len(encoded)+envelope, sent,
			perSecond*(2*15)*(zoneHolders+remoteHolders+1)/float64(size.entries), perRecord)
		assert.Assert(t, sent < 0.02*linkBytes, "%d entry nodes: %.0f bytes a second", size.entries, sent)
		alive := perSecond * (2 * 15) // records of two timeouts
		held := alive * (zoneHolders + remoteHolders + 1) / float64(size.entries)
		assert.Assert(t, held*perRecord < maximumStoreBytes, "%d entry nodes: %.0f records", size.entries, held)
	}
	assert.Assert(t, MaximumRecords*perRecord < maximumStoreBytes, "a full store takes %.0f bytes", MaximumRecords*perRecord)
}

// bytesPerRecord measures the memory of a record in a full store.
func bytesPerRecord(t *testing.T) float64 {
	t.Helper()
	var store *Store
	used := heapGrowth(func() {
		store = NewStore(0)
		for number := range MaximumRecords {
			store.Put(0, recordOf(fmt.Sprint("tenant-", number%333), fmt.Sprint(number), originV1))
		}
	})
	runtime.KeepAlive(store)
	return used / MaximumRecords
}

// heapGrowth returns the bytes by which the heap has grown after a function.
func heapGrowth(run func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	run()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkHolders measures the choice of the holders of one record by size of the fleet.
func BenchmarkHolders(b *testing.B) {
	for _, size := range []struct{ entries, controls, zones int }{{8, 3, 3}, {71, 6, 3}, {961, 25, 28}} {
		b.Run(fmt.Sprint(size.entries), func(b *testing.B) {
			members := fleetMembers(0, size.entries, size.controls, size.zones)
			for number := range b.N {
				_ = members.Holders(Key{byte(number), byte(number >> 8)})
			}
		})
	}
}

// BenchmarkPut measures the keeping of one record in a full store, by number of tenants.
func BenchmarkPut(b *testing.B) {
	for _, owners := range []int{1, 333, 27_000} {
		b.Run(fmt.Sprint(owners), func(b *testing.B) {
			store := NewStore(0)
			put := func(number int) {
				key := Key{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24)}
				store.Put(0, Record{Key: key, Owner: Owner(number % owners), Origin: originV1, Lifetime: time.Minute})
			}
			for number := range MaximumRecords {
				put(number)
			}
			b.ResetTimer()
			for number := range b.N {
				put(MaximumRecords + number)
			}
		})
	}
}

// Guards against a node that has just started, learns of an instance that ended minutes ago, and denies that the service
// has had one version since.
func TestVersionThatEndedBeforeTheNodeStartedIsNotListed(t *testing.T) {
	const period = 10 * time.Second
	started := NewHistory()
	started.Ended(0, "s", "v1")
	started.Listed(0, "s", "v2")
	assert.Assert(t, !started.HasSeveralVersions(time.Second, "s", period))
	informed := NewHistory()
	informed.SetInformed(0, true)
	informed.Listed(20*time.Second, "s", "v2")
	informed.Ended(20*time.Second, "s", "v1")
	_, isOnly := informed.OnlyVersion(21*time.Second, "s", period)
	assert.Assert(t, !isOnly, "an informed node learns of an instance only when it has ended")
}

package backoff

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPausesAreReadAsSeconds(t *testing.T) {
	for value, pause := range map[string]time.Duration{
		"0": 0, "3": 3 * time.Second, " 12 ": 12 * time.Second, "0.25": 250 * time.Millisecond, ".5": 500 * time.Millisecond, "1.": time.Second,
		"86400": MaximumPause, "86401": MaximumPause, "99999999999999999999": MaximumPause,
	} {
		assert.DeepEqual(t, ReadPause([]string{value}), Said{Pause: pause})
	}
}

func TestWhatIsNoNumberOfSecondsIsAFaultAndAsksForNothing(t *testing.T) {
	for _, value := range []string{"", " ", "-1", "+3", "NaN", "Inf", "0x10", "1_000", "1,5", "soon", "1 2", "1e3", ".", "1.2.3", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		said := ReadPause([]string{value})
		assert.ErrorIs(t, said.Fault, errNotAPause, "%q", value)
		assert.Equal(t, said.Pause, time.Duration(0), "%q", value)
	}
}

func TestOfSeveralPausesTheLongestHoldsAndOneFaultSpoilsAll(t *testing.T) {
	assert.DeepEqual(t, ReadPause([]string{"1", "3", "2"}), Said{Pause: 3 * time.Second})
	assert.Assert(t, ReadPause([]string{"3", "soon"}).Fault != nil)
	assert.DeepEqual(t, ReadPause(nil), Said{})
}

func FuzzPausesOfAnyValue(f *testing.F) {
	for _, value := range []string{"3", "0.1", "1e2", "", "NaN", "-1", "1e400", "1,2", "0x1p3", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		said := ReadPause([]string{value})
		assert.Assert(t, said.Pause >= 0 && said.Pause <= MaximumPause)
		assert.Assert(t, said.Fault == nil || said.Pause == 0)
	})
}

func TestLeavingIsReadAsAFlag(t *testing.T) {
	for _, value := range []string{"1", " 1 "} {
		assert.DeepEqual(t, Said{}.WithLeaving([]string{value}), Said{IsLeaving: true})
	}
	assert.DeepEqual(t, Said{}.WithLeaving([]string{"0"}), Said{})
	assert.DeepEqual(t, Said{}.WithLeaving(nil), Said{})
	assert.DeepEqual(t, Said{}.WithLeaving([]string{"0", "1"}), Said{IsLeaving: true})
	for _, value := range []string{"", "true", "yes", "01", "1, 1", "-1", "2"} {
		said := Said{}.WithLeaving([]string{value})
		assert.ErrorIs(t, said.Fault, errNotAFlag, "%q", value)
		assert.Assert(t, !said.IsLeaving, "%q", value)
	}
}

func FuzzLeavingOfAnyValue(f *testing.F) {
	for _, value := range []string{"1", "0", "", "true", "1,0", "\x00"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		said := Said{Pause: time.Second}.WithLeaving([]string{value})
		assert.Equal(t, said.Pause, time.Second)
		assert.Assert(t, said.Fault == nil || !said.IsLeaving)
	})
}

package backoff

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauseIsParsedAsSeconds(t *testing.T) {
	for value, pause := range map[string]time.Duration{
		"0": 0, "3": 3 * time.Second, " 12 ": 12 * time.Second, "0.25": 250 * time.Millisecond, ".5": 500 * time.Millisecond, "1.": time.Second,
		"86400": MaximumPause, "86401": MaximumPause, "99999999999999999999": MaximumPause,
	} {
		assert.DeepEqual(t, ReadPause([]string{value}), Signal{Pause: pause})
	}
}

func TestInvalidPauseIsAFaultAndRequestsNoPause(t *testing.T) {
	for _, value := range []string{"", " ", "-1", "+3", "NaN", "Inf", "0x10", "1_000", "1,5", "soon", "1 2", "1e3", ".", "1.2.3", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		signal := ReadPause([]string{value})
		assert.ErrorIs(t, signal.Fault, errInvalidPause, "%q", value)
		assert.Equal(t, signal.Pause, time.Duration(0), "%q", value)
	}
}

func TestLongestOfSeveralPausesAppliesAndOneInvalidValueVoidsAll(t *testing.T) {
	assert.DeepEqual(t, ReadPause([]string{"1", "3", "2"}), Signal{Pause: 3 * time.Second})
	assert.Assert(t, ReadPause([]string{"3", "soon"}).Fault != nil)
	assert.DeepEqual(t, ReadPause(nil), Signal{})
}

func FuzzReadPause(f *testing.F) {
	for _, value := range []string{"3", "0.1", "1e2", "", "NaN", "-1", "1e400", "1,2", "0x1p3", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		signal := ReadPause([]string{value})
		assert.Assert(t, signal.Pause >= 0 && signal.Pause <= MaximumPause)
		assert.Assert(t, signal.Fault == nil || signal.Pause == 0)
	})
}

func TestLeavingIsParsedAsAFlag(t *testing.T) {
	for _, value := range []string{"1", " 1 "} {
		assert.DeepEqual(t, Signal{}.WithLeaving([]string{value}), Signal{IsLeaving: true})
	}
	assert.DeepEqual(t, Signal{}.WithLeaving([]string{"0"}), Signal{})
	assert.DeepEqual(t, Signal{}.WithLeaving(nil), Signal{})
	assert.DeepEqual(t, Signal{}.WithLeaving([]string{"0", "1"}), Signal{IsLeaving: true})
	for _, value := range []string{"", "true", "yes", "01", "1, 1", "-1", "2"} {
		signal := Signal{}.WithLeaving([]string{value})
		assert.ErrorIs(t, signal.Fault, errInvalidFlag, "%q", value)
		assert.Assert(t, !signal.IsLeaving, "%q", value)
	}
}

func FuzzWithLeaving(f *testing.F) {
	for _, value := range []string{"1", "0", "", "true", "1,0", "\x00"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		signal := Signal{Pause: time.Second}.WithLeaving([]string{value})
		assert.Equal(t, signal.Pause, time.Second)
		assert.Assert(t, signal.Fault == nil || !signal.IsLeaving)
	})
}

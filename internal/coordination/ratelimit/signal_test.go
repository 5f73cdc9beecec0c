package ratelimit

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLimitIsParsedAsADecimalNumber(t *testing.T) {
	for value, perSecond := range map[string]float64{
		"0": 0, "0.25": 0.25, "1e2": 100, "1E-1": 0.1, " 12.5 ": 12.5, "+3": 3, "-0": 0, "1e400": MaximumRate, "1e9": MaximumRate, ".5": 0.5,
	} {
		signal := Read([]string{value})
		assert.NilError(t, signal.Fault, "%q", value)
		assert.Assert(t, signal.IsNamed, "%q", value)
		assert.Equal(t, signal.PerSecond, perSecond, "%q", value)
	}
}

func TestInvalidRateIsAFaultAndNamesNoLimit(t *testing.T) {
	for _, value := range []string{"", " ", "-1", "-1e400", "NaN", "Inf", "+Inf", "0x10", "1_000", "1,5", "two", "1 2", "1e", "--1"} {
		signal := Read([]string{value})
		assert.ErrorIs(t, signal.Fault, errInvalidRate, "%q", value)
		assert.Assert(t, !signal.IsNamed, "%q", value)
	}
}

func TestLowestOfSeveralLimitsAppliesAndOneInvalidValueVoidsAll(t *testing.T) {
	assert.DeepEqual(t, Read([]string{"5", "0.5", "7"}), Signal{IsNamed: true, PerSecond: 0.5})
	assert.Assert(t, Read([]string{"5", "many"}).Fault != nil)
	assert.DeepEqual(t, Read(nil), Signal{})
}

func FuzzRead(f *testing.F) {
	for _, value := range []string{"1", "0.1", "1e2", "", "NaN", "-1", "1e400", "1,2", "0x1p3"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		signal := Read([]string{value})
		if signal.Fault != nil {
			assert.Assert(t, !signal.IsNamed)
			return
		}
		assert.Assert(t, signal.IsNamed && signal.PerSecond >= 0 && signal.PerSecond <= MaximumRate && !math.IsNaN(signal.PerSecond))
	})
}

// Package scale measures what the parts of the system cost against the number
// of nodes, budgets, engines, requests and changes: slopes, from which
// docs/CAPACITY.md works out the aimed size. Hollow nodes (the daemon's own
// code, many in this process, over an in-memory network) stand in for machines.
package scale

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// Sample is one measured point.
type Sample struct {
	// X is the size that is varied.
	X float64
	// Y is what it costs.
	Y float64
}

// Slope is a measured cost against a size, by least squares.
type Slope struct {
	Name    string
	Unit    string
	Per     string
	Samples []Sample
	// Base is the cost at size 0, Each the cost of one more.
	Base, Each float64
}

// fit computes a slope from its samples.
func fit(name, unit, per string, samples []Sample) Slope {
	slope := Slope{Name: name, Unit: unit, Per: per, Samples: samples}
	count := float64(len(samples))
	var sumX, sumY, sumXX, sumXY float64
	for _, sample := range samples {
		sumX += sample.X
		sumY += sample.Y
		sumXX += sample.X * sample.X
		sumXY += sample.X * sample.Y
	}
	if spread := count*sumXX - sumX*sumX; spread != 0 {
		slope.Each = (count*sumXY - sumX*sumY) / spread
	}
	slope.Base = (sumY - slope.Each*sumX) / count
	return slope
}

// Print writes slopes as a table.
func Print(out io.Writer, slopes []Slope) {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, "WHAT\tUNIT\tBASE\tEACH\tPER\tSAMPLES")
	for _, slope := range slopes {
		var samples string
		for _, sample := range slope.Samples {
			samples += fmt.Sprintf("%.4g:%.4g ", sample.X, sample.Y)
		}
		fmt.Fprintf(writer, "%s\t%s\t%.4g\t%.4g\t%s\t%s\n", slope.Name, slope.Unit, slope.Base, slope.Each, slope.Per, samples)
	}
	_ = writer.Flush()
}

// heapBytes is the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapOf measures the heap that a value made by build holds.
func heapOf(build func() any) float64 {
	before := heapBytes()
	value := build()
	after := heapBytes()
	runtime.KeepAlive(value)
	return after - before
}

// processorTime is this process's processor time so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

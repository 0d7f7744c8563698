// Package benchmark measures what subsystems promise. Each measurement compares sides within one run, in turns, and gives
// figures with what is wanted of them. The daemon never uses it.
package benchmark

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sort"
	"sync"
	"time"
)

// Figure is one measured value with its bar.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	Op    string // ">=", "<=" or "=="
	Want  float64
}

// Met tells whether the figure is what is wanted.
func (f Figure) Met() bool {
	switch f.Op {
	case ">=":
		return f.Value >= f.Want
	case "<=":
		return f.Value <= f.Want
	}
	return f.Value == f.Want
}

// String is the figure's line.
func (f Figure) String() string {
	return fmt.Sprintf("figure: %s %.4g %s want %s %g", f.Name, f.Value, f.Unit, f.Op, f.Want)
}

// Print writes figures and tells whether all hold.
func Print(out io.Writer, figures []Figure) bool {
	good := true
	for _, f := range figures {
		fmt.Fprintln(out, f)
		good = good && f.Met()
	}
	return good
}

// turns is how often each side is measured.
const measurementRounds = 7

// median is the middle of some values.
func median(values []float64) float64 {
	s := slices.Sorted(slices.Values(values))
	return s[len(s)/2]
}

// compareMedians measures each side in turn and gives their medians.
func compareMedians(measure ...func() float64) []float64 {
	all := make([][]float64, len(measure))
	for range measurementRounds {
		for k, m := range measure {
			all[k] = append(all[k], m())
		}
	}
	middle := make([]float64, len(measure))
	for k := range all {
		middle[k] = median(all[k])
	}
	return middle
}

// heapBytes is how many bytes something holds.
func heapBytes(make func() any) (bytes float64, kept any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), kept
}

func elapsedSeconds(work func()) float64 {
	began := time.Now()
	work()
	return time.Since(began).Seconds()
}

// parallel does n things on all cores.
func parallel(n int, do func(k int)) {
	var all sync.WaitGroup
	next := make(chan int)
	for range runtime.NumCPU() {
		all.Add(1)
		go func() {
			defer all.Done()
			for k := range next {
				do(k)
			}
		}()
	}
	for k := range n {
		next <- k
	}
	close(next)
	all.Wait()
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

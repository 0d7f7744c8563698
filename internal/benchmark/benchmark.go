// Package benchmark measures what subsystems promise, behind `make measure-*`. Each measurement compares sides within one run, in turns,
// and returns figures with their targets. The names of figures stand in docs/results. The serving daemon must not use the package.
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

// Figure is one measured value with its target.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	Op    string // ">=", "<=" or "=="
	Want  float64
}

// Met reports whether the figure meets its target.
func (f Figure) Met() bool {
	switch f.Op {
	case ">=":
		return f.Value >= f.Want
	case "<=":
		return f.Value <= f.Want
	}
	return f.Value == f.Want
}

// String returns the figure on one line.
func (f Figure) String() string {
	return fmt.Sprintf("figure: %s %.4g %s want %s %g", f.Name, f.Value, f.Unit, f.Op, f.Want)
}

// Print writes figures and reports whether all meet their targets.
func Print(out io.Writer, figures []Figure) bool {
	allMet := true
	for _, f := range figures {
		fmt.Fprintln(out, f)
		allMet = allMet && f.Met()
	}
	return allMet
}

// measurementRounds is how often each side is measured.
const measurementRounds = 7

// median returns the middle of some values.
func median(values []float64) float64 {
	s := slices.Sorted(slices.Values(values))
	return s[len(s)/2]
}

// compareMedians measures each side in turn and returns their medians.
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

// heapBytes returns how many bytes of the heap something takes, and the thing itself.
func heapBytes(build func() any) (bytes float64, built any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), built
}

// elapsedSeconds returns how long some work takes.
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

// quantile returns a quantile of some values, which it sorts; NaN if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// Package benchmark implements the measurements behind `make measure-*`. Each measurement alternates between the
// variants that it compares within one run, and returns figures with their targets. The names of figures are listed in
// docs/results, so they must not change. The serving daemon must not use this package.
package benchmark

import (
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figure is one measured value with its target.
type Figure struct {
	Name   string
	Value  float64
	Unit   string
	Op     string // comparison of Value with Target: ">=", "<=" or "=="
	Target float64
}

// Met reports whether the figure meets its target.
func (f Figure) Met() bool {
	switch f.Op {
	case ">=":
		return f.Value >= f.Target
	case "<=":
		return f.Value <= f.Target
	}
	return f.Value == f.Target
}

// String returns the figure on one line.
func (f Figure) String() string {
	return fmt.Sprintf("figure: %s %.4g %s want %s %g", f.Name, f.Value, f.Unit, f.Op, f.Target)
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

// figureSet collects the figures of a measurement, whose names have a common prefix.
type figureSet struct {
	prefix  string
	echo    bool // print each figure as a comment as soon as it is added
	figures []Figure
}

func (s *figureSet) add(name string, value float64, unit, op string, target float64) {
	figure := Figure{s.prefix + name, value, unit, op, target}
	s.figures = append(s.figures, figure)
	if s.echo {
		fmt.Println("#", figure)
	}
}

// dedupWindow is the deduplication window of the test executors and of the controllers' settings.
const dedupWindow = 20 * time.Second

// measurementRounds is how often compareMedians measures each variant.
const measurementRounds = 7

// median returns the median of a non-empty list of values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// compareMedians measures the variants in turn and returns the median of each.
func compareMedians(variants ...func() float64) []float64 {
	values := make([][]float64, len(variants))
	for range measurementRounds {
		for k, measure := range variants {
			values[k] = append(values[k], measure())
		}
	}
	medians := make([]float64, len(variants))
	for k := range values {
		medians[k] = median(values[k])
	}
	return medians
}

// heapBytes returns how many bytes of the heap a built value takes, and the value.
func heapBytes(build func() any) (bytes float64, built any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), built
}

// elapsedSeconds returns how long a call takes.
func elapsedSeconds(call func()) float64 {
	start := time.Now()
	call()
	return time.Since(start).Seconds()
}

// parallel calls do for each number below n on all cores.
func parallel(n int, do func(k int)) {
	var workers sync.WaitGroup
	next := make(chan int)
	for range runtime.NumCPU() {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for k := range next {
				do(k)
			}
		}()
	}
	for k := range n {
		next <- k
	}
	close(next)
	workers.Wait()
}

// quantile returns a quantile of some values, which it sorts; NaN if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// envNumber returns the number in an environment variable, or a default.
func envNumber(name string, defaultNumber int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultNumber
}

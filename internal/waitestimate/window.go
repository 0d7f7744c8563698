package waitestimate

import (
	"fmt"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	sketchAccuracy = 0.02  // relative accuracy of a quantile
	sketchBins     = 256   // maximum number of bins; beyond it the lowest bins are merged
	windowMS       = 15000 // time that one sketch covers
	minSamples     = 12    // values needed for a quantile
)

// window holds recent values in two sketches: one that is being filled, and one of the time before it.
type window struct {
	current, previous *ddsketch.DDSketch
	startedAt         float64 // time of the first value in the current sketch
}

func newSketch() *ddsketch.DDSketch {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		panic(fmt.Errorf("waitestimate: invalid sketch parameters: %w", err)) // the parameters are constants
	}
	return sketch
}

// add adds a value. It first rotates or resets the sketches if the current one covers its time already.
func (w *window) add(now, value float64) {
	switch {
	case w.current == nil || now-w.startedAt > 2*windowMS:
		w.current, w.previous = newSketch(), newSketch()
		w.startedAt = now
	case now-w.startedAt > windowMS:
		w.current, w.previous = w.previous, w.current
		w.startedAt = now
		w.current.Clear()
	}
	_ = w.current.Add(value)
}

// quantile returns the quantile at a fraction between 0 and 1. It returns false if there are fewer than minSamples
// values.
func (w *window) quantile(fraction float64) (float64, bool) {
	if w.current == nil || w.current.GetCount()+w.previous.GetCount() < minSamples {
		return 0, false
	}
	merged := w.current
	if w.previous.GetCount() > 0 {
		merged = w.current.Copy()
		if merged.MergeWith(w.previous) != nil {
			return 0, false
		}
	}
	value, err := merged.GetValueAtQuantile(fraction)
	return value, err == nil
}

package waitestimate

import "github.com/DataDog/sketches-go/ddsketch"

const (
	sketchAccuracy = 0.02  // of a quantile
	sketchBins     = 256   // at that accuracy they reach over a factor of 150
	windowMS       = 15000 // of a sketch; the running one and the one before are read
	minSamples     = 12
)

// window holds the values seen lately: a sketch that is being filled, and the one before it.
type window struct {
	current, previous *ddsketch.DDSketch
	startedAt         float64
}

func newSketch() *ddsketch.DDSketch {
	s, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		panic(err) // it depends on constants alone
	}
	return s
}

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

// quantile returns a quantile of the values; false where too few were seen.
func (w *window) quantile(q float64) (float64, bool) {
	if w.current == nil || w.current.GetCount()+w.previous.GetCount() < minSamples {
		return 0, false
	}
	all := w.current
	if w.previous.GetCount() > 0 {
		all = w.current.Copy()
		if all.MergeWith(w.previous) != nil {
			return 0, false
		}
	}
	v, err := all.GetValueAtQuantile(q)
	return v, err == nil
}

// Package waitestimate estimates how long a request will wait until its first attempt starts and until it ends. An
// estimate is the wait expected from the work queued ahead of the request, multiplied by a quantile of the ratios
// between recent waits and their expected waits, and by a correction. The correction is adjusted so that nine in ten
// waits stay within their estimates. There is no estimate until enough waits have been observed. The package does no
// I/O and has no clock and no goroutine.
package waitestimate

import "math"

const (
	targetCoverage    = 0.93 // share of waits that should stay within their estimates: a little more than nine in ten
	sketchMargin      = 1.05 // factor that covers the error of the sketches: twice sketchAccuracy, and the binning
	minWaitMS         = 5    // lower bound of a wait: the time that a message takes
	quantileRefreshMS = 250  // how long computed quantiles are used; computing them is costly
	minChangeShare    = 0.3  // share by which an estimate must differ to be sent again
	minChangeBaseMS   = 100  // lower bound of the time of which that share is taken
)

// history holds the recent waits of one team and request class. Waits are stored as ratios to their expected waits.
type history struct {
	starts, ends                   window // waits until the first attempt, and until the end
	startCorrection, endCorrection correction
	startsEstimated, startsWithin  uint64 // waits that had an estimate, and those that stayed within it
	endsEstimated, endsWithin      uint64
	startQuantile, endQuantile     float64
	quantilesReadAt                float64
	quantilesKnown                 bool // enough waits were observed for both quantiles
}

// refreshQuantiles recomputes the quantiles if they are unknown or out of date.
func (h *history) refreshQuantiles(now float64) {
	if now-h.quantilesReadAt <= quantileRefreshMS && h.quantilesKnown {
		return
	}
	var startKnown, endKnown bool
	h.startQuantile, startKnown = h.starts.quantile(targetCoverage)
	h.endQuantile, endKnown = h.ends.quantile(targetCoverage)
	h.quantilesKnown = startKnown && endKnown
	h.quantilesReadAt = now
}

// Backlog describes the work queued ahead of a request, and the request itself.
type Backlog struct {
	AheadMS float64 // work queued ahead of the request, in ms of one thread
	Threads float64 // number of threads that work for the team of the request
	RunMS   float64 // time that the request itself is expected to run
}

// expectedWaitMS returns the time that the threads take for the work ahead.
func (b Backlog) expectedWaitMS() float64 { return b.AheadMS/max(0.1, b.Threads) + minWaitMS }

// Estimate is an estimate of the waits of one request. The zero value is an unknown estimate.
type Estimate struct {
	Known                bool
	MadeAt               float64
	StartMS, EndMS       float64 // time from MadeAt until the first attempt starts, and until the request ends
	expectedWaitMS       float64 // expected from the backlog alone
	runMS                float64
	startEpoch, endEpoch uint32 // epochs of the corrections that were applied
}

// historyKey identifies a history.
type historyKey struct{ team, class string }

// Estimator estimates waits from the recent waits of the same team and request class. It keeps a history for each
// team and class that it was called with and drops none; the number of teams is bounded by the configuration.
type Estimator struct {
	histories map[historyKey]*history
}

// New returns an estimator without any observed waits.
func New() *Estimator { return &Estimator{histories: map[historyKey]*history{}} }

// history returns the history of a team and request class, creating it if necessary.
func (e *Estimator) history(team, class string) *history {
	h := e.histories[historyKey{team, class}]
	if h == nil {
		h = &history{startCorrection: correction{factor: 1}, endCorrection: correction{factor: 1}}
		e.histories[historyKey{team, class}] = h
	}
	return h
}

// Estimate returns an estimate for a request that is queued behind a backlog. It is unknown until enough waits of the
// team and class were observed.
func (e *Estimator) Estimate(now float64, team, class string, backlog Backlog) Estimate {
	h := e.history(team, class)
	estimate := Estimate{
		MadeAt:         now,
		expectedWaitMS: backlog.expectedWaitMS(),
		runMS:          max(1, backlog.RunMS),
		startEpoch:     h.startCorrection.epoch,
		endEpoch:       h.endCorrection.epoch,
	}
	h.refreshQuantiles(now)
	if !h.quantilesKnown {
		return estimate
	}
	estimate.Known = true
	estimate.StartMS = estimate.expectedWaitMS * h.startQuantile * sketchMargin * h.startCorrection.factor
	endMS := (estimate.expectedWaitMS + estimate.runMS) * h.endQuantile * sketchMargin * h.endCorrection.factor
	estimate.EndMS = max(estimate.StartMS, endMS)
	return estimate
}

// Started records that the first attempt of a request started. The estimate is the one made when the request arrived.
func (e *Estimator) Started(now float64, team, class string, estimate Estimate) {
	h := e.history(team, class)
	waitedMS := max(minWaitMS, now-estimate.MadeAt)
	h.starts.add(now, waitedMS/estimate.expectedWaitMS)
	if !estimate.Known {
		return
	}
	exceeded := waitedMS > max(estimate.StartMS, minWaitMS)
	h.startsEstimated++
	if !exceeded {
		h.startsWithin++
	}
	h.startCorrection.observe(estimate.startEpoch, exceeded)
}

// Ended records that a request succeeded. The estimate is the one made when the request arrived.
func (e *Estimator) Ended(now float64, team, class string, estimate Estimate) {
	h := e.history(team, class)
	waitedMS := max(minWaitMS, now-estimate.MadeAt)
	h.ends.add(now, waitedMS/(estimate.expectedWaitMS+estimate.runMS))
	if !estimate.Known {
		return
	}
	exceeded := waitedMS > estimate.EndMS
	h.endsEstimated++
	if !exceeded {
		h.endsWithin++
	}
	h.endCorrection.observe(estimate.endEpoch, exceeded)
}

// Changed returns whether the current estimate differs so much from the one sent before, less the time since then, that
// the client should be told.
func Changed(sent, current Estimate) bool {
	if sent.Known != current.Known {
		return true
	}
	remainingMS := sent.StartMS - (current.MadeAt - sent.MadeAt)
	minChangeMS := minChangeShare * max(remainingMS, current.StartMS, minChangeBaseMS)
	return current.Known && math.Abs(current.StartMS-remainingMS) > minChangeMS
}

// Accuracy counts the waits of a team and request class that had an estimate, and those that stayed within it.
type Accuracy struct {
	Team, Class          string
	Starts, StartsWithin uint64 // waits until the first attempt
	Ends, EndsWithin     uint64 // waits until the end
}

// Accuracy returns the accuracy for each team and request class, in no particular order.
func (e *Estimator) Accuracy() (list []Accuracy) {
	for key, h := range e.histories {
		list = append(list, Accuracy{
			Team:         key.team,
			Class:        key.class,
			Starts:       h.startsEstimated,
			StartsWithin: h.startsWithin,
			Ends:         h.endsEstimated,
			EndsWithin:   h.endsWithin,
		})
	}
	return list
}

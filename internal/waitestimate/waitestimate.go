// Package waitestimate estimates how long a request will wait: until its first attempt, and until its end. It has no I/O, clock or
// goroutine. An estimate is a quantile of what was seen lately, relative to the work that was ahead, and is corrected as it is found
// to be wrong, so that nine in ten waits stay within it. Where too little was seen, there is none.
package waitestimate

import "math"

const (
	coverage        = 0.93 // of the waits are to stay within their estimate: a little more than nine in ten
	sketchMargin    = 1.05 // for the accuracy of a sketch, twice, and its binning
	minWaitMS       = 5    // what a message takes
	quantileReadMS  = 250  // between readings of the quantiles, which move slowly and are costly to read
	changeShare     = 0.3  // by which an estimate must have changed to be sent again
	minChangeBaseMS = 100  // of which that share is taken at least
)

// history is what was seen of the waits of one team and request class.
type history struct {
	starts, ends                   window // waits over their base
	startCorrection, endCorrection correction
	startsEstimated, startsWithin  uint64
	endsEstimated, endsWithin      uint64
	startQuantile, endQuantile     float64 // as last read
	readAt                         float64
	known                          bool
}

// readQuantiles reads the quantiles anew where it is time for that.
func (h *history) readQuantiles(now float64) {
	if now-h.readAt <= quantileReadMS && h.known {
		return
	}
	var startKnown, endKnown bool
	h.startQuantile, startKnown = h.starts.quantile(coverage)
	h.endQuantile, endKnown = h.ends.quantile(coverage)
	h.known = startKnown && endKnown
	h.readAt = now
}

// Backlog is what is ahead of a request when it arrives.
type Backlog struct {
	AheadMS float64 // work ahead of it, ms of one thread
	Threads float64 // that do it for its team
	RunMS   float64 // that it will run itself
}

// waitMS is the plain wait: the work ahead over the threads that do it.
func (b Backlog) waitMS() float64 { return b.AheadMS/max(0.1, b.Threads) + minWaitMS }

// Estimate is an estimate that was made. The zero value is that there is none.
type Estimate struct {
	Known                bool
	At                   float64
	StartMS, EndMS       float64 // from At on
	baseMS               float64 // the plain wait
	runMS                float64
	startEpoch, endEpoch uint32 // of the corrections
}

// historyKey names a history.
type historyKey struct{ team, class string }

// Estimator keeps what was seen, by team and request class. Teams are bounded by who configures them.
type Estimator struct {
	histories map[historyKey]*history
}

// New returns an estimator that has seen nothing.
func New() *Estimator { return &Estimator{histories: map[historyKey]*history{}} }

func (e *Estimator) history(team, class string) *history {
	h := e.histories[historyKey{team, class}]
	if h == nil {
		h = &history{startCorrection: correction{factor: 1}, endCorrection: correction{factor: 1}}
		e.histories[historyKey{team, class}] = h
	}
	return h
}

// Estimate returns the estimate for a request that arrives, or that still waits.
func (e *Estimator) Estimate(now float64, team, class string, backlog Backlog) Estimate {
	h := e.history(team, class)
	estimate := Estimate{At: now, baseMS: backlog.waitMS(), runMS: max(1, backlog.RunMS), startEpoch: h.startCorrection.epoch,
		endEpoch: h.endCorrection.epoch}
	h.readQuantiles(now)
	if !h.known {
		return estimate
	}
	estimate.Known = true
	estimate.StartMS = estimate.baseMS * h.startQuantile * sketchMargin * h.startCorrection.factor
	estimate.EndMS = max(estimate.StartMS, (estimate.baseMS+estimate.runMS)*h.endQuantile*sketchMargin*h.endCorrection.factor)
	return estimate
}

// Started takes in that the first attempt of a request was sent, which got an estimate on its arrival.
func (e *Estimator) Started(now float64, team, class string, estimate Estimate) {
	h := e.history(team, class)
	took := max(minWaitMS, now-estimate.At)
	h.starts.add(now, took/estimate.baseMS)
	if !estimate.Known {
		return
	}
	exceeded := took > max(estimate.StartMS, minWaitMS)
	h.startsEstimated++
	if !exceeded {
		h.startsWithin++
	}
	h.startCorrection.observe(estimate.startEpoch, exceeded)
}

// Ended takes in that a request succeeded.
func (e *Estimator) Ended(now float64, team, class string, estimate Estimate) {
	h := e.history(team, class)
	took := max(minWaitMS, now-estimate.At)
	h.ends.add(now, took/(estimate.baseMS+estimate.runMS))
	if !estimate.Known {
		return
	}
	exceeded := took > estimate.EndMS
	h.endsEstimated++
	if !exceeded {
		h.endsWithin++
	}
	h.endCorrection.observe(estimate.endEpoch, exceeded)
}

// Changed tells whether an estimate is worth sending again: it differs much from what the client now believes.
func Changed(before, now Estimate) bool {
	if before.Known != now.Known {
		return true
	}
	left := before.StartMS - (now.At - before.At)
	return now.Known && math.Abs(now.StartMS-left) > changeShare*max(left, now.StartMS, minChangeBaseMS)
}

// Accuracy is how many waits stayed within their estimates, for a team and request class.
type Accuracy struct {
	Team, Class                            string
	Starts, StartsWithin, Ends, EndsWithin uint64
}

// Accuracy returns these for all that were seen, in no order.
func (e *Estimator) Accuracy() (list []Accuracy) {
	for key, h := range e.histories {
		list = append(list, Accuracy{Team: key.team, Class: key.class, Starts: h.startsEstimated, StartsWithin: h.startsWithin, Ends: h.endsEstimated,
			EndsWithin: h.endsWithin})
	}
	return list
}

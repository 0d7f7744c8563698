package handoff

import "slices"

// Constants of the pacer; times are in ms. It works like a congestion window: the number of adopted requests in flight
// starts small, grows while successful requests take about as long as usual, and is cut when they take longer. The
// usual duration is measured per class while nothing is adopted; a controller without clients of its own measures it on
// the first adopted requests.
const (
	paceInitialLimit   = 8     // adoptions in flight at first: what one executor can run beside its other load
	paceMinSamples     = 32    // durations of a class until its usual duration is known
	paceSamples        = 256   // latest durations of a class: the 99th percentile is the third longest
	paceMaxTracked     = 4096  // requests in flight that are timed
	paceSampling       = 4     // while nothing is adopted, one in so many idempotent requests is timed
	paceSlowWeight     = 0.03  // weight of the latest request in the moving share of slow ones
	paceSlowUsual      = 0.5   // share of slow requests under unchanged load: slow means longer than the median
	paceSlowLimit      = 0.68  // slow share from which the limit is cut: a sixteenth above paceSlowUsual would be noise
	paceLateFactor     = 1.1   // a request is late if it takes longer than this times the usual 99th percentile
	paceLateAllowance  = 0.006 // share of late requests that is tolerated
	paceLateLimit      = 2     // late requests beyond the allowance from which the limit is cut
	paceCutHoldMS      = 300   // minimum time between cuts: what was in flight at a cut has mostly ended by then
	paceGrowthDivisor  = 8     // each tick adds this part of the limit, at least one
	paceCutDivisor     = 2
	pacePercentileRank = 99
)

// durationBaseline holds the latest durations of successful requests of one class, and their usual duration.
type durationBaseline struct {
	samples     [paceSamples]float64 // ring buffer, in ms
	count       int                  // of all samples added
	median, p99 float64              // as of the latest call of summarize; 0: not known
}

// add records a duration and overwrites the oldest one once the buffer is full.
func (d *durationBaseline) add(durationMS float64) {
	d.samples[d.count%paceSamples] = durationMS
	d.count++
}

// summarize updates the median and the 99th percentile if there are enough samples.
func (d *durationBaseline) summarize() {
	if d.count < paceMinSamples {
		return
	}
	sorted := slices.Clone(d.samples[:min(d.count, paceSamples)])
	slices.Sort(sorted)
	d.median = sorted[len(sorted)/2]
	d.p99 = sorted[len(sorted)*pacePercentileRank/100]
}

// pacer limits how many adopted requests are in flight, so that adoption does not slow down the controller's own
// requests.
type pacer struct {
	maxInFlight float64 // upper bound of limit
	limit       float64
	baselines   []durationBaseline // by class
	slowShare   float64            // moving share of requests that took longer than the usual median
	lateExcess  float64            // late requests beyond the allowance
	lastCutAt   float64            // when the limit was last cut or reset
	adopting    bool               // adopted requests are waiting or in flight
	started     map[string]timedRequest
	arrivals    int
}

// timedRequest is a request in flight that is timed.
type timedRequest struct {
	startedAt float64
	class     int
}

// start begins to time a request. With always, which is set for replicated and adopted requests, it is not sampled.
func (p *pacer) start(now float64, id string, class int, always bool) {
	p.arrivals++
	if len(p.started) >= paceMaxTracked || class < 0 {
		return
	}
	if always || p.adopting || p.arrivals%paceSampling == 0 {
		p.started[id] = timedRequest{now, class}
	}
}

// forget stops timing a request without recording its duration.
func (p *pacer) forget(id string) { delete(p.started, id) }

// finish records the end of a request. Durations of requests that did not succeed are ignored.
func (p *pacer) finish(now float64, id string, succeeded bool) {
	request, timed := p.started[id]
	if !timed {
		return
	}
	delete(p.started, id)
	if !succeeded {
		return
	}
	baseline := &p.baselines[request.class]
	durationMS := now - request.startedAt
	if !p.adopting {
		baseline.add(durationMS)
		return
	}
	if baseline.median == 0 {
		if p.limit <= paceInitialLimit {
			baseline.add(durationMS)
			baseline.summarize()
		}
		return
	}
	p.recordDuration(durationMS, baseline)
}

// recordDuration updates the shares of slow and late requests by a duration, compared with the usual durations of its
// class.
func (p *pacer) recordDuration(durationMS float64, usual *durationBaseline) {
	slow := 0.0
	if durationMS > usual.median {
		slow = 1
	}
	p.slowShare += paceSlowWeight * (slow - p.slowShare)
	p.lateExcess = max(0, p.lateExcess-paceLateAllowance)
	if durationMS > paceLateFactor*usual.p99 {
		p.lateExcess++
	}
}

// tick adapts the limit: it starts low when adoption begins, grows while requests take as long as usual, and is cut
// when they take longer. Wanted says whether requests are waiting to be adopted or adopted ones are in flight.
func (p *pacer) tick(now float64, wanted bool) {
	switch {
	case !wanted:
		p.adopting = false
	case !p.adopting:
		p.adopting = true
		p.limit = min(paceInitialLimit, p.maxInFlight)
		p.reset(now)
		for i := range p.baselines {
			p.baselines[i].summarize()
		}
	case p.slowShare < paceSlowLimit && p.lateExcess < paceLateLimit:
		p.limit = min(p.maxInFlight, p.limit+max(1, p.limit/paceGrowthDivisor))
	case now > p.lastCutAt+paceCutHoldMS:
		p.limit = max(1, p.limit/paceCutDivisor)
		p.reset(now)
	}
}

// reset restarts the shares of slow and late requests, and the time until the next cut.
func (p *pacer) reset(now float64) {
	p.slowShare = paceSlowUsual
	p.lateExcess = 0
	p.lastCutAt = now
}

package handoff

import "slices"

// The pacer lets few adopted requests be in flight at first, more while requests here take as long as they usually do, and fewer once they
// take longer. What is usual is learnt by class while nothing is adopted. A successor without clients of its own goes by what it adopts.
const (
	paceInitialLimit   = 8    // adoptions in flight at first: what one executor does beside all else
	paceMinSamples     = 32   // of a class, until its usual duration is known
	paceSamples        = 256  // latest durations of a class: the 99th percentile is the third longest
	paceMaxTracked     = 4096 // requests in flight that are timed
	paceSampling       = 4    // while nothing is adopted, one in so many idempotent requests is timed
	paceSlowWeight     = 0.03 // of the latest request in the share of slow ones
	paceSlowUsual      = 0.5  // that share if nothing has changed: slow is longer than the median
	paceSlowLimit      = 0.68 // that share from which the limit is cut: a sixteenth would be noise
	paceLateFactor     = 1.1  // times the usual 99th percentile: late
	paceLateAllowance  = 0.006
	paceLateLimit      = 2   // late requests beyond the allowance at which the limit is cut
	paceCutHoldMS      = 300 // between two cuts: what was in flight at the first has mostly ended by then
	paceGrowthDivisor  = 8
	paceCutDivisor     = 2
	pacePercentileRank = 99
)

// durations are how long the latest requests of a class took while nothing was adopted.
type durations struct {
	samples     [paceSamples]float64
	count       int
	median, p99 float64 // as of the beginning of an adoption; 0: not known
}

func (d *durations) add(ms float64) {
	d.samples[d.count%paceSamples] = ms
	d.count++
}

// summarize updates the median and the 99th percentile.
func (d *durations) summarize() {
	if d.count < paceMinSamples {
		return
	}
	sorted := slices.Clone(d.samples[:min(d.count, paceSamples)])
	slices.Sort(sorted)
	d.median = sorted[len(sorted)/2]
	d.p99 = sorted[len(sorted)*pacePercentileRank/100]
}

// pacer limits how many adopted requests are in flight.
type pacer struct {
	maxInFlight float64
	limit       float64
	baselines   []durations // by class
	slowShare   float64     // of the latest requests, those that took longer than the median
	lateDebt    float64     // late requests beyond the allowance
	cutAt       float64
	adopting    bool
	started     map[string]pacedRequest
	arrivals    int
}

// pacedRequest is a request that is timed.
type pacedRequest struct {
	at    float64
	class int
}

// start notes that a request began. One of a replicated class, or an adopted one, is always timed.
func (p *pacer) start(now float64, id string, class int, always bool) {
	p.arrivals++
	if len(p.started) >= paceMaxTracked || class < 0 {
		return
	}
	if always || p.adopting || p.arrivals%paceSampling == 0 {
		p.started[id] = pacedRequest{now, class}
	}
}

// forget drops a request that ends without an outcome of its own.
func (p *pacer) forget(id string) { delete(p.started, id) }

// finish records the end of a request. Only one that succeeded tells anything.
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
	took := now - request.at
	if !p.adopting {
		baseline.add(took)
		return
	}
	if baseline.median == 0 {
		if p.limit <= paceInitialLimit {
			baseline.add(took)
			baseline.summarize()
		}
		return
	}
	p.compare(took, baseline)
}

// compare weighs a duration against what is usual.
func (p *pacer) compare(took float64, usual *durations) {
	slow := 0.0
	if took > usual.median {
		slow = 1
	}
	p.slowShare += paceSlowWeight * (slow - p.slowShare)
	p.lateDebt = max(0, p.lateDebt-paceLateAllowance)
	if took > paceLateFactor*usual.p99 {
		p.lateDebt++
	}
}

// tick raises the limit, or cuts it. Wanted tells that requests wait to be adopted, or are in flight.
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
	case p.slowShare < paceSlowLimit && p.lateDebt < paceLateLimit:
		p.limit = min(p.maxInFlight, p.limit+max(1, p.limit/paceGrowthDivisor))
	case now > p.cutAt+paceCutHoldMS:
		p.limit = max(1, p.limit/paceCutDivisor)
		p.reset(now)
	}
}

func (p *pacer) reset(now float64) {
	p.slowShare = paceSlowUsual
	p.lateDebt = 0
	p.cutAt = now
}

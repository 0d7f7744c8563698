package clustersim

import (
	"math"
	"slices"

	"liftshift/internal/locality"
)

const (
	planSpreadMS       = 1000.0 // until controllers act on a plan that follows
	minLatencySamples  = 100
	oscillationStep    = 0.05 // of a share: smaller changes of direction do not count
	shareSmoothing     = 0.1
	recoverySmoothing  = 0.2
	recoveredShare     = 0.95
	minRecoveryMS      = 1000.0
	planInForcePercent = 95
)

// localityMetrics are the counts from which a LocalityResult is made.
type localityMetrics struct {
	possible, earned             float64 // value of the requests since the loss
	attempts, localAttempts      float64 // while all zones were there
	latencyBefore, latencyDuring []float64
	trends                       []shareTrend // by zone
	backAt                       float64
	recovery                     recoveryTrend
}

// shareTrend follows the remote share of a zone's threads.
type shareTrend struct {
	share     float64 // smoothed
	extreme   float64 // the furthest that it came in its direction
	direction int     // 1, -1, or 0 as long as it has none
}

// recoveryTrend follows the threads of the lost zone's controllers, smoothed.
type recoveryTrend struct{ local, all float64 }

func newLocalityMetrics(zones int) localityMetrics {
	return localityMetrics{trends: make([]shareTrend, zones)}
}

func (m *localityMetrics) countValue(succeeded bool, latency float64) {
	m.possible++
	switch {
	case succeeded && latency <= softDeadlineMS:
		m.earned++
	case succeeded:
		m.earned += lateValue
	}
}

// summarize returns the result at the end.
func (s *localitySim) summarize() LocalityResult {
	r, m := &s.result, &s.metrics
	r.Requests = s.requestCount
	for _, c := range s.controllers {
		r.ReportBytesPerSecond += float64(c.monitor.Counts.ReportBytesSent) / float64(len(s.controllers)) / (s.EndMS / 1000)
	}
	r.ValueShare = m.earned / max(1, m.possible)
	r.LocalShare = m.localAttempts / max(1, m.attempts)
	if len(m.latencyBefore) > minLatencySamples && len(m.latencyDuring) > minLatencySamples {
		r.OtherZonesP99Ratio = p99(m.latencyDuring) / p99(m.latencyBefore)
	}
	return *r
}

func p99(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)*99/100]
}

// measure compares the threads that each zone uses in each other with the caps, and follows the recovery.
func (s *localitySim) measure() {
	threads := s.countThreads()
	for from := range threads {
		all, remote := 0.0, 0.0
		for to, n := range threads[from] {
			all += n
			if from == to {
				continue
			}
			remote += n
			if s.Policy == SharedPlan && n > s.maxCap(from, to) {
				s.result.CapViolations++
			}
		}
		if s.now > s.LostAtMS && all > 0 && s.metrics.trends[from].add(remote/all) {
			s.result.Oscillations++
		}
		if from == 0 {
			s.measureRecovery(threads[0][0], all)
		}
	}
	s.measurePlanInForce()
}

// countThreads returns the threads in use by the zone of the controller and that of the executor.
func (s *localitySim) countThreads() [][]float64 {
	threads := make([][]float64, s.Zones)
	for zone := range threads {
		threads[zone] = make([]float64, s.Zones)
	}
	for _, e := range s.executors {
		for _, job := range e.jobs {
			threads[s.zoneOf(job.controller)][e.zone]++
		}
	}
	return threads
}

// measureRecovery notes when the requests of the lost zone are local again.
func (s *localitySim) measureRecovery(local, all float64) {
	m := &s.metrics
	if m.backAt == 0 || s.result.RecoveryMS != 0 {
		return
	}
	m.recovery.local += recoverySmoothing * (local - m.recovery.local)
	m.recovery.all += recoverySmoothing * (all - m.recovery.all)
	if m.recovery.local > recoveredShare*m.recovery.all && s.now > m.backAt+minRecoveryMS {
		s.result.RecoveryMS = s.now - m.backAt
	}
}

// measurePlanInForce notes when enough controllers that are not cut off have a plan in which the zone is lost.
func (s *localitySim) measurePlanInForce() {
	if s.now < s.LostAtMS || s.result.PlanInForceMS != 0 || s.Policy != SharedPlan {
		return
	}
	informed := 0
	for _, c := range s.controllers {
		for _, zone := range c.monitor.Plan().Zones {
			if zone.Name == zoneName(0) && zone.State == locality.Lost {
				informed++
			}
		}
	}
	if 100*informed >= planInForcePercent*(len(s.controllers)-s.CutOffControllers) {
		s.result.PlanInForceMS = s.now - s.LostAtMS
	}
}

// maxCap returns the largest cap that can be in force between two zones: that of the current plan, and those of earlier ones as long as
// their leases last. What is under way when a cap shrinks runs to its end: so much longer.
func (s *localitySim) maxCap(from, to int) (largest float64) {
	for i, agreed := range s.agreed {
		isCurrent := i == len(s.agreed)-1
		if !isCurrent && s.agreed[i+1].at+localityLeaseMS+planSpreadMS < s.now {
			continue
		}
		if pair := agreed.plan.Pair(zoneName(from), zoneName(to)); pair != nil {
			largest = max(largest, pair.Cap)
		}
	}
	return largest
}

// add adds a share, and reports whether its trend has changed its direction by more than the step.
func (t *shareTrend) add(share float64) (turned bool) {
	t.share += shareSmoothing * (share - t.share)
	change := t.share - t.extreme
	switch {
	case change > oscillationStep && t.direction != 1, change < -oscillationStep && t.direction != -1:
		turned = t.direction != 0
		t.direction = int(math.Copysign(1, change))
		t.extreme = t.share
	case change > 0 && t.direction == 1, change < 0 && t.direction == -1:
		t.extreme = t.share
	}
	return turned
}

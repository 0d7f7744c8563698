package clustersim

import (
	"math"
	"slices"

	"liftshift/internal/locality"
)

const (
	planActivationMS   = 1000.0 // time within which all controllers apply a new plan
	minLatencySamples  = 100
	oscillationStep    = 0.05 // smallest change of a share that counts as a change of direction
	shareSmoothing     = 0.1  // weight of a new sample in a shareTrend
	recoverySmoothing  = 0.2  // weight of a new sample in a recoveryTrend
	recoveredShare     = 0.95
	minRecoveryMS      = 1000.0
	planInForcePercent = 95
)

// localityMetrics holds the measurements from which a LocalityResult is computed.
type localityMetrics struct {
	possible, earned             float64      // value of the requests that arrived after the loss
	attempts, localAttempts      float64      // before the loss
	latencyBefore, latencyDuring []float64    // of requests in zones other than 0, before and during the loss
	trends                       []shareTrend // by zone
	backAt                       float64      // time of the return of zone 0; 0 before it
	recovery                     recoveryTrend
}

// shareTrend tracks the remote share of a zone's threads and the direction in which it moves.
type shareTrend struct {
	share     float64 // smoothed
	extreme   float64 // most extreme share so far in the current direction
	direction int     // 1 for rising, -1 for falling, 0 if not known yet
}

// recoveryTrend holds the smoothed numbers of local and all threads that the controllers of the lost zone use.
type recoveryTrend struct{ local, all float64 }

// newLocalityMetrics returns empty metrics for a number of zones.
func newLocalityMetrics(zones int) localityMetrics {
	return localityMetrics{trends: make([]shareTrend, zones)}
}

// countValue adds the value of a finished request, which depends on whether it met its soft deadline.
func (m *localityMetrics) countValue(succeeded bool, latency float64) {
	m.possible++
	switch {
	case succeeded && latency <= softDeadlineMS:
		m.earned++
	case succeeded:
		m.earned += lateValueShare
	}
}

// summarize computes the result at the end of the simulation.
func (s *localitySim) summarize() LocalityResult {
	result, metrics := &s.result, &s.metrics
	result.Requests = s.requestCount
	for _, c := range s.controllers {
		result.ReportBytesPerSecond += float64(c.monitor.Counts.ReportBytesSent) / float64(len(s.controllers)) / (s.EndMS / 1000)
	}
	result.ValueShare = metrics.earned / max(1, metrics.possible)
	result.LocalShare = metrics.localAttempts / max(1, metrics.attempts)
	if len(metrics.latencyBefore) > minLatencySamples && len(metrics.latencyDuring) > minLatencySamples {
		result.OtherZonesP99Ratio = p99(metrics.latencyDuring) / p99(metrics.latencyBefore)
	}
	return *result
}

// p99 returns the 99th percentile of values, and sorts them.
func p99(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)*99/100]
}

// measure compares the threads that each zone uses in other zones with the caps, and updates the trends of remote
// shares and recovery.
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

// countThreads returns the threads in use, indexed by the zone of the controller and then the zone of the executor.
func (s *localitySim) countThreads() [][]float64 {
	threads := make([][]float64, s.Zones)
	for zone := range threads {
		threads[zone] = make([]float64, s.Zones)
	}
	for _, executor := range s.executors {
		for _, job := range executor.jobs {
			threads[s.zoneOf(job.controller)][executor.zone]++
		}
	}
	return threads
}

// measureRecovery records the time after which the threads of the lost zone's controllers are local again.
func (s *localitySim) measureRecovery(local, all float64) {
	metrics := &s.metrics
	if metrics.backAt == 0 || s.result.RecoveryMS != 0 {
		return
	}
	metrics.recovery.local += recoverySmoothing * (local - metrics.recovery.local)
	metrics.recovery.all += recoverySmoothing * (all - metrics.recovery.all)
	if metrics.recovery.local > recoveredShare*metrics.recovery.all && s.now > metrics.backAt+minRecoveryMS {
		s.result.RecoveryMS = s.now - metrics.backAt
	}
}

// measurePlanInForce records the time after which enough of the reachable controllers have a plan in which zone 0 is
// lost.
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

// maxCap returns the largest cap that can be in force between two zones: that of the current plan, or of an earlier
// plan whose lease may not have expired everywhere. The lease is extended by planActivationMS for controllers that
// apply the next plan late, and for attempts in progress, which are not interrupted when a cap shrinks.
func (s *localitySim) maxCap(from, to int) (largest float64) {
	for i, agreed := range s.agreed {
		isCurrent := i == len(s.agreed)-1
		if !isCurrent && s.agreed[i+1].at+localityLeaseMS+planActivationMS < s.now {
			continue
		}
		if pair := agreed.plan.Pair(zoneName(from), zoneName(to)); pair != nil {
			largest = max(largest, pair.Cap)
		}
	}
	return largest
}

// add adds a sample, and reports whether the share has changed direction by more than oscillationStep.
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

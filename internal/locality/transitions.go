package locality

import "slices"

const (
	maxRecoveryWaitMS = 60e3
	flapMS            = 60e3 // within which, after the longest wait, a further loss counts as a flap
	maxFlapDoublings  = 16
)

// recoveryStages are the shares of a zone's capacity that are open while it recovers. All of it follows the last one.
var recoveryStages = []float64{0.05, 0.15, 0.4, 0.7}

// input is what moves a zone from one state to another.
type input uint8

const (
	inputHealthy        input = iota // its users reach it
	inputDegraded                    // they reach a part of it
	inputDisputed                    // they disagree
	inputUnreachable                 // they, and others, the endpoint list or the membership view have it as unreachable
	inputEvacuate                    // an operator's order is in force
	inputEvacuationOver              // that order has ended
	inputStageDue                    // a stage, or the wait for recovery, is over without bad signs
	inputRecovered                   // the last stage is over
)

// transitions gives for a state and an input the next state and an action. Inputs without a row change nothing.
var transitions = []struct {
	state  State
	input  input
	next   State
	action func(*zoneReview)
}{
	{Healthy, inputDegraded, Degraded, nil},
	{Healthy, inputDisputed, Suspected, nil},
	{Healthy, inputUnreachable, Lost, (*zoneReview).recordLoss},
	{Degraded, inputHealthy, Healthy, nil},
	{Degraded, inputDisputed, Suspected, nil},
	{Degraded, inputUnreachable, Lost, (*zoneReview).recordLoss},
	{Suspected, inputHealthy, Healthy, nil},
	{Suspected, inputDegraded, Degraded, nil},
	{Suspected, inputUnreachable, Lost, (*zoneReview).recordLoss},
	{Lost, inputStageDue, Recovering, (*zoneReview).resetStage},
	{Recovering, inputDegraded, Recovering, (*zoneReview).lowerStage},
	{Recovering, inputDisputed, Recovering, (*zoneReview).lowerStage},
	{Recovering, inputUnreachable, Lost, (*zoneReview).recordLoss},
	{Recovering, inputStageDue, Recovering, (*zoneReview).raiseStage},
	{Recovering, inputRecovered, Healthy, (*zoneReview).resetStage},
	{Evacuated, inputEvacuationOver, Recovering, (*zoneReview).resetStage},
	{Healthy, inputEvacuate, Evacuated, (*zoneReview).startEvacuation},
	{Degraded, inputEvacuate, Evacuated, (*zoneReview).startEvacuation},
	{Suspected, inputEvacuate, Evacuated, (*zoneReview).startEvacuation},
	{Lost, inputEvacuate, Evacuated, (*zoneReview).startEvacuation},
	{Recovering, inputEvacuate, Evacuated, (*zoneReview).startEvacuation},
}

// zoneReview is a zone that is being reviewed, with the leader's memory of it.
type zoneReview struct {
	zone   *Zone
	memory *zoneMemory
	now    float64
}

// zoneMemory is what the leader remembers of a zone besides the plan. A new leader starts without it, which makes times longer.
type zoneMemory struct {
	since         float64     // of the state or the stage
	goodSince     float64     // since when there have been no bad signs; 0: there are some
	lostAt        float64     // of the last loss
	lastInput     input       // of the last reviews
	repeats       int         // reviews in a row with that input
	demand        float64     // threads that its controllers need, smoothed
	peaks         [60]float64 // the highest demand in each of the last 60 minutes
	minute        int
	demandIsGiven bool // the demand is an assumption, not observed
}

// recordPeak keeps the highest demand of each minute.
func (m *zoneMemory) recordPeak(now float64) {
	for minute := int(now / 60e3); m.minute < minute; {
		m.minute = max(m.minute+1, minute-len(m.peaks)+1)
		m.peaks[m.minute%len(m.peaks)] = 0
	}
	k := m.minute % len(m.peaks)
	m.peaks[k] = max(m.peaks[k], m.demand)
}

// peak returns the highest demand in the last hour, as far as this leader has led.
func (m *zoneMemory) peak() float64 { return slices.Max(m.peaks[:]) }

// apply moves the zone by the transition table.
func (r *zoneReview) apply(in input) {
	for _, t := range transitions {
		if t.state != r.zone.State || t.input != in {
			continue
		}
		if r.zone.State != t.next || t.action != nil {
			r.memory.since = r.now
		}
		r.zone.State = t.next
		if t.action != nil {
			t.action(r)
		}
		return
	}
}

// recordLoss counts a loss soon after the one before as a flap.
func (r *zoneReview) recordLoss() {
	if r.memory.lostAt > 0 && r.now < r.memory.lostAt+flapMS+maxRecoveryWaitMS {
		r.zone.Flaps++
	} else {
		r.zone.Flaps = 0
	}
	r.memory.lostAt = r.now
	r.memory.goodSince = 0
	r.zone.Stage = 0
}

func (r *zoneReview) resetStage() { r.zone.Stage = 0 }

func (r *zoneReview) raiseStage() { r.zone.Stage++ }

// lowerStage goes back a stage at each bad review: faster than stages are gained.
func (r *zoneReview) lowerStage() {
	r.zone.Stage = max(0, r.zone.Stage-1)
	r.memory.goodSince = 0
}

func (r *zoneReview) startEvacuation() {
	r.zone.Stage = 0
	r.memory.goodSince = 0
}

// recoveryWaitMS returns how long a lost zone must be reachable before it recovers. It doubles with each flap.
func (z *Zone) recoveryWaitMS(settings *Settings) float64 {
	wait := settings.RecoveryWaitMS
	for range min(z.Flaps, maxFlapDoublings) {
		wait = min(maxRecoveryWaitMS, 2*wait)
	}
	return wait
}

// openShare returns the share of a zone's capacity that is open to its own requests, and whether other zones' may go there, too.
func (z *Zone) openShare() (share float64, openToOthers bool) {
	switch z.State {
	case Lost, Evacuated:
		return 0, false
	case Recovering:
		return recoveryStages[min(z.Stage, len(recoveryStages)-1)], false
	}
	return 1, true
}

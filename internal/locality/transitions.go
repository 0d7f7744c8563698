package locality

import "slices"

const (
	maxRecoveryWaitMS = 60e3
	flapWindowMS      = 60e3 // plus maxRecoveryWaitMS: a loss that soon after the previous one counts as a flap
	maxFlapDoublings  = 16
)

// recoveryStages are the fractions of a zone's capacity that are open in the stages of its recovery. After the last
// stage the zone is healthy and all of its capacity is open.
var recoveryStages = []float64{0.05, 0.15, 0.4, 0.7}

// input is an input of the state machine of a zone.
type input uint8

const (
	inputHealthy        input = iota // the zone's controllers reach it
	inputDegraded                    // a large part of it is missing, according to its controllers or the endpoint list
	inputDisputed                    // the observers disagree, or no second source confirms that it is unreachable
	inputUnreachable                 // its executors can't be reached, according to all available sources
	inputEvacuate                    // an operator's order is in force
	inputEvacuationOver              // no such order is in force any more
	inputStageDue                    // the zone has been stable for a whole stage, or for the wait before recovery
	inputRecovered                   // the zone has been stable for the last stage
)

// transitions is the transition table of a zone's state machine. An input without a row for the zone's state is
// ignored.
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

// zoneReview is the review of a zone for the next plan.
type zoneReview struct {
	zone    *Zone
	history *zoneHistory
	now     float64
}

// zoneHistory is the state of a zone that the leader keeps besides the plan. A new leader starts without it, which may
// delay changes of a zone's state.
type zoneHistory struct {
	since           float64     // when the zone entered its state or stage
	stableSince     float64     // since when every review found the zone reachable; 0: the last one did not
	lostAt          float64     // when the zone was last lost; 0: never
	lastInput       input       // of the last review
	repeats         int         // consecutive reviews with lastInput, including the last one
	demand          float64     // moving average of the threads that the zone's controllers need
	demandPeaks     [60]float64 // highest demand in each of the last 60 minutes, a ring indexed by minute
	minute          int         // of the latest entry in demandPeaks
	demandIsAssumed bool        // demand is given for a simulation, and reports do not change it
}

// recordPeak records the current demand if it is the highest in the current minute, and clears the minutes that have
// passed since the last call.
func (h *zoneHistory) recordPeak(now float64) {
	for minute := int(now / 60e3); h.minute < minute; {
		h.minute = max(h.minute+1, minute-len(h.demandPeaks)+1)
		h.demandPeaks[h.minute%len(h.demandPeaks)] = 0
	}
	k := h.minute % len(h.demandPeaks)
	h.demandPeaks[k] = max(h.demandPeaks[k], h.demand)
}

// peakDemand returns the highest demand in the last hour, or since this controller became the leader if that is later.
func (h *zoneHistory) peakDemand() float64 { return slices.Max(h.demandPeaks[:]) }

// apply moves the zone to its next state by the transition table.
func (r *zoneReview) apply(current input) {
	for _, t := range transitions {
		if t.state != r.zone.State || t.input != current {
			continue
		}
		if r.zone.State != t.next || t.action != nil {
			r.history.since = r.now
		}
		r.zone.State = t.next
		if t.action != nil {
			t.action(r)
		}
		return
	}
}

// recordLoss is the action of a transition to Lost. It counts the loss as a flap if it follows soon after the previous
// one.
func (r *zoneReview) recordLoss() {
	if r.history.lostAt > 0 && r.now < r.history.lostAt+flapWindowMS+maxRecoveryWaitMS {
		r.zone.Flaps++
	} else {
		r.zone.Flaps = 0
	}
	r.history.lostAt = r.now
	r.history.stableSince = 0
	r.zone.Stage = 0
}

func (r *zoneReview) resetStage() { r.zone.Stage = 0 }

func (r *zoneReview) raiseStage() { r.zone.Stage++ }

// lowerStage goes back one stage. It applies at each review with such an input, so stages are lost faster than gained.
func (r *zoneReview) lowerStage() {
	r.zone.Stage = max(0, r.zone.Stage-1)
	r.history.stableSince = 0
}

func (r *zoneReview) startEvacuation() {
	r.zone.Stage = 0
	r.history.stableSince = 0
}

// recoveryWaitMS returns how long a lost zone must be reachable before it recovers. The time doubles with each flap.
func (z *Zone) recoveryWaitMS(settings *Settings) float64 {
	wait := settings.RecoveryWaitMS
	for range min(z.Flaps, maxFlapDoublings) {
		wait = min(maxRecoveryWaitMS, 2*wait)
	}
	return wait
}

// openFraction returns the fraction of a zone's capacity that is open to its own controllers, and whether the zone is
// open to controllers of other zones as well.
func (z *Zone) openFraction() (fraction float64, openToOthers bool) {
	switch z.State {
	case Lost, Evacuated:
		return 0, false
	case Recovering:
		return recoveryStages[min(z.Stage, len(recoveryStages)-1)], false
	}
	return 1, true
}

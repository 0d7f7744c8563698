package locality

import (
	"fmt"
	"maps"
	"slices"
)

// maxDemandFactor limits a zone's demand per observer to a multiple of the median zone's, so that one grossly wrong
// report does not open all zones to the controllers of its zone.
const maxDemandFactor = 4

// evidence is the sum of the verdicts on a zone by its own controllers, and by those of other zones.
type evidence struct {
	own, others           Observation
	ownCount, othersCount int // observers with a verdict
	withoutList           int // observers in all zones whose endpoint list is unavailable
}

// gatherEvidence sums the verdicts on a zone in the reports of all zones.
func gatherEvidence(zone *Zone, in *planInput) (e evidence) {
	for _, observerZone := range slices.Sorted(maps.Keys(in.reports)) {
		report := in.reports[observerZone]
		e.withoutList += report.ObserversWithoutList
		for _, o := range report.Observations {
			if o.Zone != zone.Name {
				continue
			}
			if observerZone == zone.Name {
				e.own.addVerdicts(&o)
				e.ownCount = o.verdicts()
			} else {
				e.others.addVerdicts(&o)
				e.othersCount += o.verdicts()
			}
		}
	}
	return e
}

// addVerdicts adds the verdicts of another observation, without its threads in flight.
func (o *Observation) addVerdicts(other *Observation) {
	o.Healthy += other.Healthy
	o.Degraded += other.Degraded
	o.Unreachable += other.Unreachable
}

// classify derives the input for a zone's state from the evidence, and the reason for operators. The zone's own
// controllers use its executors all the time, but may be partitioned themselves. So the zone counts as unreachable only
// if another source confirms the verdict of its controllers: controllers of other zones, the endpoint list, or a
// membership view without live controllers in the zone.
func classify(zone *Zone, in *planInput) (stateInput input, reason string) {
	e := gatherEvidence(zone, in)
	listed := -1.0 // fraction of the zone's cores that the endpoint list has; below 0: unknown
	if in.cores != nil && zone.Cores > 0 {
		listed = in.cores[zone.Name] / zone.Cores
	}
	ownUnreachable := e.ownCount > 0 && 2*e.own.Unreachable > e.ownCount
	othersUnreachable := e.othersCount > 0 && 2*e.others.Unreachable > e.othersCount
	manyOwnUnreachable := 5*e.own.Unreachable > e.ownCount
	almostAllOwnUnreachable := 5*e.own.Unreachable > 4*e.ownCount
	noMembers := zone.Members == 0
	noOwnVerdicts := e.ownCount == 0
	impaired := e.own.Degraded + e.own.Unreachable
	switch {
	case listed >= 0 && listed < unreachableFraction && (ownUnreachable || noOwnVerdicts || noMembers):
		return inputUnreachable, fmt.Sprintf(
			"the endpoint list has %.0f%% of its cores, and %d of %d of its own controllers find it unreachable",
			100*listed, e.own.Unreachable, e.ownCount)
	case ownUnreachable && (othersUnreachable || noMembers):
		return inputUnreachable, fmt.Sprintf("%d of %d of its own controllers and %d of %d others find it unreachable",
			e.own.Unreachable, e.ownCount, e.others.Unreachable, e.othersCount)
	case ownUnreachable && e.othersCount == 0 && e.withoutList > 0:
		return inputDisputed, fmt.Sprintf(
			"%d of %d of its own controllers find it unreachable; the endpoint list is unavailable",
			e.own.Unreachable, e.ownCount)
	case ownUnreachable && almostAllOwnUnreachable && e.othersCount == 0:
		return inputUnreachable, fmt.Sprintf(
			"%d of %d of its own controllers find it unreachable, and no other controller has evidence of it",
			e.own.Unreachable, e.ownCount)
	case noMembers && noOwnVerdicts && othersUnreachable:
		return inputUnreachable, fmt.Sprintf(
			"it has no live controller, and %d of %d controllers of other zones find it unreachable",
			e.others.Unreachable, e.othersCount)
	case noMembers && noOwnVerdicts && zone.Cores > 0 && e.othersCount == 0:
		return inputUnreachable, "it has no live controller, and no controller has evidence of its executors"
	case ownUnreachable || othersUnreachable || e.own.Unreachable > 0 && manyOwnUnreachable:
		return inputDisputed, fmt.Sprintf("%d of %d of its own controllers and %d of %d others find it unreachable",
			e.own.Unreachable, e.ownCount, e.others.Unreachable, e.othersCount)
	case listed >= 0 && listed < degradedFraction || 2*impaired > e.ownCount && e.ownCount > 0:
		return inputDegraded, fmt.Sprintf(
			"the endpoint list has %.0f%% of its cores, and %d of %d of its own controllers find much of it unreachable",
			100*max(0, listed), impaired, e.ownCount)
	}
	return inputHealthy, fmt.Sprintf("%d of %d of its own controllers reach it", e.own.Healthy, e.ownCount)
}

// reachableFraction returns the fraction of a zone's cores that its own controllers reach: the least according to the
// endpoint list and to their verdicts, and 1 without either.
func reachableFraction(zone *Zone, in *planInput) float64 {
	fraction := 1.0
	if in.cores != nil && zone.Cores > 0 {
		fraction = min(1, in.cores[zone.Name]/zone.Cores)
	}
	for _, o := range in.reports[zone.Name].Observations {
		if n := o.verdicts(); o.Zone == zone.Name && n > 0 {
			fraction = min(fraction, (float64(o.Healthy)+0.5*float64(o.Degraded))/float64(n))
		}
	}
	return fraction
}

// demandOf returns the threads that the controllers of a zone need, limited by maxDemandFactor.
func demandOf(in *planInput, zone *Zone) float64 {
	var perObserver []float64
	for _, report := range in.reports {
		if report.Observers > 0 {
			perObserver = append(perObserver, report.DemandThreads/float64(report.Observers))
		}
	}
	own := in.reports[zone.Name]
	if own.Observers == 0 || len(perObserver) == 0 {
		return 0
	}
	slices.Sort(perObserver)
	median := perObserver[(len(perObserver)-1)/2]
	return min(own.DemandThreads, float64(own.Observers)*max(1, maxDemandFactor*median))
}

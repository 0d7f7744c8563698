package locality

import (
	"fmt"
	"maps"
	"slices"
)

// maxDemandFactor bounds a zone's demand for each observer by that of the median zone, so that a report that is wrong by far does not
// open all zones.
const maxDemandFactor = 4

// evidence is the sum of the verdicts on a zone, of its own controllers and of the others.
type evidence struct {
	own, others           Observation
	ownCount, othersCount int
	withoutList           int // observers without access to the endpoint list
}

func gatherEvidence(z *Zone, in *planInput) (e evidence) {
	for _, zone := range slices.Sorted(maps.Keys(in.reports)) {
		report := in.reports[zone]
		e.withoutList += report.WithoutList
		for _, o := range report.Observations {
			if o.Zone != z.Name {
				continue
			}
			if zone == z.Name {
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

func (o *Observation) addVerdicts(other *Observation) {
	o.Healthy += other.Healthy
	o.Degraded += other.Degraded
	o.Unreachable += other.Unreachable
}

// classify weighs the evidence on a zone. Its own controllers use its executors, but may themselves be partitioned. So the zone counts as
// unreachable only if another source confirms it: other controllers, the endpoint list, or the membership view without a controller of it.
func classify(z *Zone, in *planInput) (sign input, reason string) {
	e := gatherEvidence(z, in)
	listed := -1.0 // share of its cores in the list; below 0: not known
	if in.cores != nil && z.Cores > 0 {
		listed = in.cores[z.Name] / z.Cores
	}
	ownUnreachable := e.ownCount > 0 && 2*e.own.Unreachable > e.ownCount
	othersUnreachable := e.othersCount > 0 && 2*e.others.Unreachable > e.othersCount
	manyOwnUnreachable := 5*e.own.Unreachable > e.ownCount
	almostAllOwnUnreachable := 5*e.own.Unreachable > 4*e.ownCount
	withoutMembers := z.Members == 0
	withoutOwn := e.ownCount == 0
	impaired := e.own.Degraded + e.own.Unreachable
	switch {
	case listed >= 0 && listed < unreachableShare && (ownUnreachable || withoutOwn || withoutMembers):
		return inputUnreachable, fmt.Sprintf("the list has %.0f%% of its cores, and %d of %d of its own controllers see it gone", 100*listed,
			e.own.Unreachable, e.ownCount)
	case ownUnreachable && (othersUnreachable || withoutMembers):
		return inputUnreachable, fmt.Sprintf("%d of %d of its own controllers and %d of %d others see it gone", e.own.Unreachable, e.ownCount,
			e.others.Unreachable, e.othersCount)
	case ownUnreachable && e.othersCount == 0 && e.withoutList > 0:
		return inputDisputed, fmt.Sprintf("%d of %d of its own controllers see it gone; the list is out of reach", e.own.Unreachable, e.ownCount)
	case ownUnreachable && almostAllOwnUnreachable && e.othersCount == 0:
		return inputUnreachable, fmt.Sprintf("%d of %d of its own controllers see it gone, and nobody else sees it", e.own.Unreachable, e.ownCount)
	case withoutMembers && withoutOwn && othersUnreachable:
		return inputUnreachable, fmt.Sprintf("no controller of it is there, and %d of %d others see it gone", e.others.Unreachable, e.othersCount)
	case withoutMembers && withoutOwn && z.Cores > 0 && e.othersCount == 0:
		return inputUnreachable, "no controller of it is there, and nobody sees its executors"
	case ownUnreachable || othersUnreachable || e.own.Unreachable > 0 && manyOwnUnreachable:
		return inputDisputed, fmt.Sprintf("%d of %d of its own controllers and %d of %d others see it gone", e.own.Unreachable, e.ownCount,
			e.others.Unreachable, e.othersCount)
	case listed >= 0 && listed < degradedShare || 2*impaired > e.ownCount && e.ownCount > 0:
		return inputDegraded, fmt.Sprintf("the list has %.0f%% of its cores, %d of %d of its own controllers see much of it gone",
			100*max(0, listed), impaired, e.ownCount)
	}
	return inputHealthy, fmt.Sprintf("%d of %d of its own controllers reach it", e.own.Healthy, e.ownCount)
}

// reachableShare returns the share of a zone's cores that its controllers reach, as far as it is known.
func reachableShare(z *Zone, in *planInput) float64 {
	share := 1.0
	if in.cores != nil && z.Cores > 0 {
		share = min(1, in.cores[z.Name]/z.Cores)
	}
	for _, o := range in.reports[z.Name].Observations {
		if n := o.verdicts(); o.Zone == z.Name && n > 0 {
			share = min(share, (float64(o.Healthy)+0.5*float64(o.Degraded))/float64(n))
		}
	}
	return share
}

// demandOf returns the threads that the controllers of a zone need, bounded by maxDemandFactor.
func demandOf(in *planInput, z *Zone) float64 {
	var perObserver []float64
	for _, r := range in.reports {
		if r.Observers > 0 {
			perObserver = append(perObserver, r.DemandThreads/float64(r.Observers))
		}
	}
	r := in.reports[z.Name]
	if r.Observers == 0 || len(perObserver) == 0 {
		return 0
	}
	slices.Sort(perObserver)
	median := perObserver[(len(perObserver)-1)/2]
	return min(r.DemandThreads, float64(r.Observers)*max(1, maxDemandFactor*median))
}

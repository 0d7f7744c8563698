package quota

const (
	underservedFactor       = 0.9  // a waiting team below this multiple of its fair share is underserved
	capDelayMS              = 200  // time a team must have been underserved before priorities are capped
	uncapDelayMS            = 500  // time without an underserved team before the caps are lifted
	requestChangeIntervalMS = 1000 // between two changes of one request: each change is a message to its executor
	changeIntervalMS        = 20   // average interval between changes of all requests together
	changeBurstMS           = 200  // unused change intervals that may be made up for at once
	cappedPriority          = 500
)

// capState says whether the priority of a request is capped.
type capState uint8

const (
	uncapped capState = iota
	capped
	neverCapped // the request holds its table group, and a cap would make it hold the group longer
)

// String returns the name of the state.
func (c capState) String() string {
	return [...]string{uncapped: "uncapped", capped: "capped", neverCapped: "never capped"}[c]
}

// capInput is an observation that changes cap states.
type capInput uint8

const (
	teamUnderserved   capInput = iota // a waiting team has been underserved for capDelayMS
	noTeamUnderserved                 // no team has been underserved for uncapDelayMS
)

// capTransitions is the state machine of priority caps. It applies to the running requests of teams over their fair
// share, and to requests that are capped.
var capTransitions = []struct {
	from  capState
	input capInput
	to    capState
}{
	{uncapped, teamUnderserved, capped},
	{capped, noTeamUnderserved, uncapped},
}

func nextCapState(from capState, input capInput) (to capState, ok bool) {
	for _, transition := range capTransitions {
		if transition.from == from && transition.input == input {
			return transition.to, true
		}
	}
	return from, false
}

// adjustCaps caps the priorities of running requests of teams over their fair share while a waiting team is
// underserved, the latest request first, until the capped requests make up for their team's excess. It lifts the
// caps when no team has been underserved for uncapDelayMS.
func (t *Tree) adjustCaps() {
	underserved := t.anyTeamUnderserved()
	switch {
	case underserved && t.underservedSince == 0:
		t.underservedSince, t.satisfiedSince = t.now, 0
	case !underserved && t.satisfiedSince == 0:
		t.underservedSince, t.satisfiedSince = 0, t.now
	}
	switch {
	case t.underservedSince > 0 && t.now-t.underservedSince >= capDelayMS:
		t.applyCaps(teamUnderserved)
	case t.satisfiedSince > 0 && t.now-t.satisfiedSince >= uncapDelayMS && t.anyCapped:
		t.applyCaps(noTeamUnderserved)
	}
}

// anyTeamUnderserved reports whether a team with waiting requests is underserved. Teams held back by their own
// limits do not count.
func (t *Tree) anyTeamUnderserved() bool {
	for i := 1; i < len(t.nodes); i++ {
		node := &t.nodes[i]
		waits := len(node.children) == 0 && node.queued > 0 && node.blocked == notBlocked
		if waits && node.threads < underservedFactor*t.fairThreads(node) {
			return true
		}
	}
	return false
}

// excessThreads returns, by leaf, the threads above the fair share of each team over its share.
func (t *Tree) excessThreads() map[int32]float64 {
	excess := map[int32]float64{}
	for i := 1; i < len(t.nodes); i++ {
		node := &t.nodes[i]
		if fair := t.fairThreads(node); len(node.children) == 0 && node.threads > overShareFactor*fair {
			excess[int32(i)] = node.threads - fair
		}
	}
	return excess
}

// applyCaps caps or uncaps running requests, the latest first.
func (t *Tree) applyCaps(input capInput) {
	excess := map[int32]float64{}
	if input == teamUnderserved {
		excess = t.excessThreads()
	}
	postponed := false
	for index := t.running.last; index != none; index = t.slab.at(index).links[listRunning].prev {
		req := t.slab.at(index)
		class := &t.classes[req.class]
		if class.holdsTableGroup {
			req.capState = neverCapped
		}
		if input == teamUnderserved && req.capState == capped {
			excess[req.leaf] -= class.threads
		}
		if input == teamUnderserved && req.capState == uncapped && excess[req.leaf] < class.threads {
			continue
		}
		to, ok := nextCapState(req.capState, input)
		if !ok {
			continue
		}
		if !t.mayChangeCap(req) {
			postponed = true
			continue
		}
		excess[req.leaf] -= class.threads
		t.setCap(req, to)
	}
	if input == noTeamUnderserved {
		t.anyCapped = postponed
	}
}

// mayChangeCap reports whether the rate limits allow a change of the request's cap now.
func (t *Tree) mayChangeCap(req *request) bool {
	if t.now-req.capChangedAt < requestChangeIntervalMS {
		return false
	}
	return t.now-t.lastChangeAt >= changeIntervalMS || t.lastChangeAt <= 0
}

func (t *Tree) setCap(req *request, to capState) {
	req.capState, req.capChangedAt = to, t.now
	t.lastChangeAt = max(t.lastChangeAt+changeIntervalMS, t.now-changeBurstMS)
	if to == capped {
		t.counts.Capped++
		t.nodes[req.leaf].capped++
		t.anyCapped = true
		t.emit(Effect{Kind: CapPriority, ID: req.id, PriorityCap: cappedPriority, MemoryShare: overShareMemory})
		return
	}
	t.counts.Uncapped++
	t.nodes[req.leaf].capped--
	t.emit(Effect{Kind: UncapPriority, ID: req.id})
}

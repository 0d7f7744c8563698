package quota

const (
	shortBelow       = 0.9  // of its fair share below which a team that waits is short
	capDelayMS       = 200  // that a team must be short until others are capped
	uncapDelayMS     = 500  // that no team must be short until caps are lifted
	requestChangeMS  = 1000 // between two changes of one request: each is a message to its executor
	changeIntervalMS = 20   // between changes of all requests together
	changeBurstMS    = 200  // of those intervals that may be used at once
	cappedPriority   = 500
)

// capState is whether the priority of a request is capped.
type capState uint8

const (
	uncapped capState = iota
	capped
	neverCapped // it holds its table group, and would hold it longer
)

// String returns the name of the state.
func (c capState) String() string {
	return [...]string{uncapped: "uncapped", capped: "capped", neverCapped: "never capped"}[c]
}

// capInput is what was observed of the teams.
type capInput uint8

const (
	teamShort   capInput = iota // a team that waits has been short for long enough
	noTeamShort                 // none has been for long enough
)

// capTransitions tells what becomes of a running request of a team over its fair share, or of one that is capped.
var capTransitions = []struct {
	from  capState
	input capInput
	to    capState
}{
	{uncapped, teamShort, capped},
	{capped, noTeamShort, uncapped},
}

func nextCap(from capState, input capInput) (to capState, ok bool) {
	for _, t := range capTransitions {
		if t.from == from && t.input == input {
			return t.to, true
		}
	}
	return from, false
}

// adjustCaps looks whether a team that waits is short of its fair share, and then caps the priorities of what runs for teams over
// theirs, the latest first, until that makes up for their excess. It lifts the caps when no team has been short for a while.
func (t *Tree) adjustCaps() {
	short := t.anyShort()
	switch {
	case short && t.shortAt == 0:
		t.shortAt, t.calmAt = t.now, 0
	case !short && t.calmAt == 0:
		t.shortAt, t.calmAt = 0, t.now
	}
	switch {
	case t.shortAt > 0 && t.now-t.shortAt >= capDelayMS:
		t.applyCaps(teamShort)
	case t.calmAt > 0 && t.now-t.calmAt >= uncapDelayMS && t.anyCapped:
		t.applyCaps(noTeamShort)
	}
}

// anyShort tells whether a team that waits, and is not held by a limit of its own, is short of its fair share.
func (t *Tree) anyShort() bool {
	for i := 1; i < len(t.nodes); i++ {
		n := &t.nodes[i]
		waits := len(n.children) == 0 && n.queued > 0 && n.blocked == notBlocked
		if waits && n.threads < shortBelow*t.fairThreads(n) {
			return true
		}
	}
	return false
}

// excessThreads returns the threads of teams over their fair share that caps are to make up for.
func (t *Tree) excessThreads() map[int32]float64 {
	excess := map[int32]float64{}
	for i := 1; i < len(t.nodes); i++ {
		n := &t.nodes[i]
		if fair := t.fairThreads(n); len(n.children) == 0 && n.threads > overAbove*fair {
			excess[int32(i)] = n.threads - fair
		}
	}
	return excess
}

// applyCaps caps or uncaps running requests, the latest first.
func (t *Tree) applyCaps(input capInput) {
	excess := map[int32]float64{}
	if input == teamShort {
		excess = t.excessThreads()
	}
	postponed := false
	for p := t.running.last; p != none; p = t.slab.at(p).links[listRunning].prev {
		r := t.slab.at(p)
		class := &t.classes[r.class]
		if class.holdsTableGroup {
			r.cap = neverCapped
		}
		if input == teamShort && r.cap == capped {
			excess[r.leaf] -= class.threads
		}
		if input == teamShort && r.cap == uncapped && excess[r.leaf] < class.threads {
			continue
		}
		to, ok := nextCap(r.cap, input)
		if !ok {
			continue
		}
		if !t.mayChangeCap(r) {
			postponed = true
			continue
		}
		excess[r.leaf] -= class.threads
		t.setCap(r, to)
	}
	if input == noTeamShort {
		t.anyCapped = postponed
	}
}

// mayChangeCap tells whether a request may be changed now, as changes are limited.
func (t *Tree) mayChangeCap(r *request) bool {
	if t.now-r.capChangedAt < requestChangeMS {
		return false
	}
	return t.now-t.lastChangeAt >= changeIntervalMS || t.lastChangeAt <= 0
}

func (t *Tree) setCap(r *request, to capState) {
	r.cap, r.capChangedAt = to, t.now
	t.lastChangeAt = max(t.lastChangeAt+changeIntervalMS, t.now-changeBurstMS)
	if to == capped {
		t.counts.Capped++
		t.nodes[r.leaf].capped++
		t.anyCapped = true
		t.emit(Effect{Kind: CapPriority, ID: r.id, PriorityCap: cappedPriority, MemoryShare: overShareMemory})
		return
	}
	t.counts.Uncapped++
	t.nodes[r.leaf].capped--
	t.emit(Effect{Kind: UncapPriority, ID: r.id})
}

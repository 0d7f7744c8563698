package handoff

import "slices"

// How many adopted searches may be in hand: few at first, more while searches here take as long as they usually do, fewer once they take
// longer. What is usual is learnt while nothing is adopted, by offering; nothing rests on how long work is in itself. An heir without
// clients of its own goes by what it adopts.
const (
	paceFirst   = 8     // in hand at first: what one executor does beside all else
	paceKnown   = 32    // searches of an offering until it is known how long they take
	paceSamples = 256   // that are remembered of each: the 99th percentile is the third longest
	paceOpen    = 4096  // searches under way that are looked at
	paceSkips   = 4     // while nothing is adopted, one in so many of those that may simply run again is looked at
	paceWeight  = 0.03  // of the latest in the share of those that took longer than half of them usually do
	paceSlow    = 0.68  // that share, from which on there is no room: half is usual, noise is a sixteenth
	paceLate    = 1.1   // times the longest that is usual: late
	paceMayBe   = 0.006 // share of late ones that is no sign: about the usual, a tenth past the 99th percentile
	paceSign    = 2     // late ones beyond that which are one
	paceHoldMS  = 300   // between two cuts: what was in hand at the first has ended by then, mostly
)

// times are how long the latest searches of an offering took while nothing was adopted.
type times struct {
	list         [paceSamples]float64
	n            int
	middle, long float64 // as of the beginning of an adoption
}

func (t *times) add(ms float64) {
	t.list[t.n%paceSamples] = ms
	t.n++
}

func (t *times) weigh() {
	if t.n < paceKnown {
		return
	}
	s := slices.Clone(t.list[:min(t.n, paceSamples)])
	slices.Sort(s)
	t.middle, t.long = s[len(s)/2], s[len(s)*99/100]
}

// pace is how many adopted searches may be in hand.
type pace struct {
	most   float64
	room   float64
	usual  []times
	slow   float64 // share of the latest that took longer than the middle
	debt   float64 // late ones beyond what may be
	cutAt  float64
	under  bool // an adoption is
	began  map[string]begun
	passed int
}

// begun is a search that is looked at, of an offering.
type begun struct {
	at float64
	of int
}

// opens notes that a search came in.
func (p *pace) opens(now float64, id string, of int, always bool) {
	if p.passed++; len(p.began) < paceOpen && of >= 0 && (always || p.under || p.passed%paceSkips == 0) {
		p.began[id] = begun{now, of}
	}
}

// ended books one that has ended; only one that was handled tells anything.
func (p *pace) ended(now float64, id string, handled bool) {
	b, known := p.began[id]
	if !known {
		return
	}
	if delete(p.began, id); !handled {
		return
	}
	t, took := &p.usual[b.of], now-b.at
	if !p.under || t.middle == 0 && p.room <= paceFirst {
		if t.add(took); p.under {
			t.weigh()
		}
		return
	}
	if t.middle == 0 {
		return
	}
	more := 0.0
	if took > t.middle {
		more = 1
	}
	p.slow += paceWeight * (more - p.slow)
	if p.debt = max(0, p.debt-paceMayBe); took > paceLate*t.long {
		p.debt++
	}
}

// tick grows the room, or cuts it. Wanted: searches wait to be adopted, or are in hand.
func (p *pace) tick(now float64, wanted bool) {
	switch {
	case !wanted:
		p.under = false
		return
	case !p.under:
		p.under, p.room, p.slow, p.debt, p.cutAt = true, min(paceFirst, p.most), 0.5, 0, now
		for k := range p.usual {
			p.usual[k].weigh()
		}
	case p.slow < paceSlow && p.debt < paceSign:
		p.room = min(p.most, p.room+max(1, p.room/8))
	case now > p.cutAt+paceHoldMS:
		p.room, p.slow, p.debt, p.cutAt = max(1, p.room/2), 0.5, 0, now
	}
}

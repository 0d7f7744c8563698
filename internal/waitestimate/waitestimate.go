// Package waitestimate estimates how long a search will wait: until its first shot, and until its end. It is free of I/O, clock
// and goroutines. An estimate is a quantile of what was seen lately, against the work that was ahead, and is made longer or shorter
// as it is found to be wrong, so that nine in ten waits stay within what was told. What can't be told is unknown.
package waitestimate

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	within   = 0.93  // of the waits are to stay within what is told: a little more than nine in ten
	accuracy = 0.02  // of a sketch's quantiles
	bins     = 256   // of a sketch: 2% apart they reach over a factor of 150
	windowMS = 15000 // ms of a sketch; two are asked, the running one and the one before
	least    = 12    // waits seen until any can be told
	judged   = 25    // waits told under one correction until it is judged: those told before it say nothing of it
	tooFew   = 0.92  // share of them within what was told below which it lengthens
	tooMany  = 0.97  // and past which it shortens
	longer   = 1.12  // by so much
	shorter  = 0.985 // far less: what is too long errs on the honest side
	spare    = 1.05  // what a sketch's accuracy, twice, and its binning take
	mostOff  = 8     // times that the correction lengthens at most
	leastOff = 0.5   // and shortens
	floorMS  = 5     // ms below which a wait is none: what a message takes
	changes  = 0.3   // part by which a figure must have changed to be told again
)

// sketch is a window of values: the running one, and the one before it.
type sketch struct {
	now, before *ddsketch.DDSketch
	began       float64
}

func fresh() *ddsketch.DDSketch {
	s, err := ddsketch.LogCollapsingLowestDenseDDSketch(accuracy, bins)
	if err != nil {
		return nil // of constants alone
	}
	return s
}

func (s *sketch) add(now, value float64) {
	switch {
	case s.now == nil || now-s.began > 2*windowMS:
		s.now, s.before, s.began = fresh(), fresh(), now
	case now-s.began > windowMS:
		s.now, s.before, s.began = s.before, s.now, now
		s.now.Clear()
	}
	_ = s.now.Add(value)
}

// at gives a quantile of both windows; false where too little was seen.
func (s *sketch) at(q float64) (float64, bool) {
	if s.now == nil || s.now.GetCount()+s.before.GetCount() < least {
		return 0, false
	}
	all := s.now
	if s.before.GetCount() > 0 {
		all = s.now.Copy()
		if all.MergeWith(s.before) != nil {
			return 0, false
		}
	}
	v, err := all.GetValueAtQuantile(q)
	return v, err == nil
}

// kind is what is known of the waits of one team and offering.
type kind struct {
	start, end           sketch // waits against the reckoned ones
	startFix, endFix     fix
	told, kept           uint64
	startTold, startKept uint64
	quantile, endQuant   float64 // as last read
	readAt               float64
	known                bool
}

// fix is a correction, and what is seen of figures told under it.
type fix struct {
	off       float64
	epoch     uint32
	n, within int
}

// hear takes in how a figure told in an epoch held.
func (f *fix) hear(epoch uint32, over bool) {
	if epoch != f.epoch {
		return
	}
	if f.n++; !over {
		f.within++
	}
	if f.n < judged {
		return
	}
	switch share := float64(f.within) / float64(f.n); {
	case share < tooFew:
		f.off = min(mostOff, f.off*longer)
	case share > tooMany:
		f.off = max(leastOff, f.off*shorter)
	}
	f.epoch, f.n, f.within = f.epoch+1, 0, 0
}

// Backlog is what is ahead of a search when it comes.
type Backlog struct {
	AheadMS float64 // work ahead of it, ms of one thread
	Threads float64 // that do it for its team
	RunMS   float64 // that it will take itself
}

// reckon is the plain figure: the work ahead over the threads that do it.
func (l Backlog) reckon() float64 { return l.AheadMS/max(0.1, l.Threads) + floorMS }

// Estimate is a figure that was given. The zero value is: nothing could be told.
type Estimate struct {
	Known          bool
	At             float64
	StartMS, EndMS float64 // from At on
	reckoned       float64
	run            float64
	starts, ends   uint32 // epochs of the corrections
}

// Estimator keeps what was seen, by team and offering. Teams are bounded by who configures them.
type Estimator struct {
	kinds map[[2]string]*kind
}

// New gives an empty book.
func New() *Estimator { return &Estimator{kinds: map[[2]string]*kind{}} }

func (b *Estimator) kind(team, offering string) *kind {
	k := b.kinds[[2]string{team, offering}]
	if k == nil {
		k = &kind{startFix: fix{off: 1}, endFix: fix{off: 1}}
		b.kinds[[2]string{team, offering}] = k
	}
	return k
}

// Estimate gives the figures for a search that comes, or that still waits.
func (b *Estimator) Estimate(now float64, team, offering string, line Backlog) Estimate {
	k := b.kind(team, offering)
	t := Estimate{At: now, reckoned: line.reckon(), run: max(1, line.RunMS), starts: k.startFix.epoch, ends: k.endFix.epoch}
	if now-k.readAt > 250 || !k.known { // quantiles move slowly, and reading them is the dear part
		var a, z bool
		k.quantile, a = k.start.at(within)
		k.endQuant, z = k.end.at(within)
		k.known, k.readAt = a && z, now
	}
	if !k.known {
		return t
	}
	t.Known = true
	t.StartMS = t.reckoned * k.quantile * spare * k.startFix.off
	t.EndMS = max(t.StartMS, (t.reckoned+t.run)*k.endQuant*spare*k.endFix.off)
	return t
}

// Started hears that the first shot has left, of a search that was told this on taking.
func (b *Estimator) Started(now float64, team, offering string, t Estimate) {
	k := b.kind(team, offering)
	took := max(floorMS, now-t.At)
	k.start.add(now, took/t.reckoned)
	if t.Known {
		k.startTold++
		if took <= max(t.StartMS, floorMS) {
			k.startKept++
		}
		k.startFix.hear(t.starts, took > max(t.StartMS, floorMS))
	}
}

// Ended hears that it was handled.
func (b *Estimator) Ended(now float64, team, offering string, t Estimate) {
	k := b.kind(team, offering)
	took := max(floorMS, now-t.At)
	k.end.add(now, took/(t.reckoned+t.run))
	if t.Known {
		k.told++
		if took <= t.EndMS {
			k.kept++
		}
		k.endFix.hear(t.ends, took > t.EndMS)
	}
}

// Changed tells whether a figure is worth telling again: it has changed much, against what the client now believes.
func Changed(before, now Estimate) bool {
	if before.Known != now.Known {
		return true
	}
	left := before.StartMS - (now.At - before.At)
	return now.Known && math.Abs(now.StartMS-left) > changes*max(left, now.StartMS, 100)
}

// Accuracy is how many of the figures told were kept, for a team and offering.
type Accuracy struct {
	Team, Class                            string
	Starts, StartsWithin, Ends, EndsWithin uint64
}

// Accuracy gives these for all that were seen, in no order.
func (b *Estimator) Accuracy() (list []Accuracy) {
	for name, k := range b.kinds {
		list = append(list, Accuracy{name[0], name[1], k.startTold, k.startKept, k.told, k.kept})
	}
	return list
}

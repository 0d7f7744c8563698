package locality

import (
	"math"
	"slices"
)

// Parts are whole searches, and small where controllers are many: one's is full while another's is not. So controllers of a zone lend
// one another what they do not use. A lender tells its module first that it may use less, and lends only once what its module has out is
// seen to be within that; it does without for longer than the borrower may use a loan, which counts from when it asked. So what all may
// have out of a cap stays within it, whatever becomes of messages.

const (
	loanMS    = 1500 // for which a loan may be used, or a third of the time that a part is valid, if that is shorter
	loanGrace = 300  // ms longer that a lender does without
	loanAsk   = 150  // ms between two askings
	loanMates = 2    // asked at a time, by turns
	loanHeed  = 1000 // ms for which one that was asked keeps something to lend
	mostLoans = 256
)

// loan is what was lent, or borrowed.
type loan struct {
	place   string
	nonce   uint64
	threads float64
	until   float64
}

// spare is what a controller keeps of its part of a place to lend.
type spare struct {
	threads float64
	asked   float64 // when it was asked last
	gen     uint64  // of what the module was told when it was kept
	ripe    bool    // the module has no more out than what is left
}

// question is an asking that may still be answered.
type question struct {
	place string
	at    float64
}

// loans is a controller's part in lending.
type loans struct {
	lent, got []loan
	spares    map[string]*spare
	asked     map[uint64]question
	nonce     uint64
	turn      int
	askAt     float64
	out       map[string]float64 // as seen last, by place
	waits     float64            // threads that are wanted, and not out

	Lent, Borrowed uint64
}

func newLoans() loans {
	return loans{spares: map[string]*spare{}, asked: map[uint64]question{}, out: map[string]float64{}}
}

func (w *Monitor) loanMS() float64 { return min(loanMS, w.bounds.LeaseMS/3) }

// lendable is what of a part may be given on: as long as what confirms it outlives the loan.
func (w *Monitor) lendable() bool {
	return w.bounds.LeaseMS-(w.now-w.confirmedAt) > w.loanMS()+loanGrace && w.valid() == 1
}

// room is what this controller's module may have out in a place: its part, without what is lent or kept to be, with what it borrowed.
func (w *Monitor) room(place string, valid float64) float64 {
	own := w.plan.Pair(w.zone, place).part(w.name)
	for _, l := range w.loans.lent {
		if l.place == place {
			own -= l.threads
		}
	}
	if s := w.loans.spares[place]; s != nil {
		own -= s.threads
	}
	own = math.Floor(max(0, own) * valid)
	for _, l := range w.loans.got {
		if l.place == place {
			own += l.threads
		}
	}
	return own
}

// lapse ends loans whose time has come, and questions that can't be answered any more.
func (w *Monitor) lapse() {
	over := func(l loan) bool { return w.now >= l.until }
	w.loans.lent, w.loans.got = slices.DeleteFunc(w.loans.lent, over), slices.DeleteFunc(w.loans.got, over)
	for nonce, q := range w.loans.asked {
		if w.now >= q.at+w.loanMS() {
			delete(w.loans.asked, nonce)
		}
	}
}

// weighLoans looks at what is out: what is kept to be lent ripens, is given up where it is wanted here, and is asked for where it is not
// enough. Applied is what the module had been told when this was seen.
func (w *Monitor) weighLoans(ev *Event) {
	l := &w.loans
	clear(l.out)
	all := 0.0
	for k := range ev.Executors {
		l.out[ev.Executors[k].Zone] += ev.Executors[k].InFlight
		all += ev.Executors[k].InFlight
	}
	l.waits = max(0, ev.DemandThreads-all)
	unit := max(1, w.bounds.MinShare)
	for _, pair := range w.plan.Pairs {
		if pair.From != w.zone {
			continue
		}
		s := l.spares[pair.To]
		switch {
		case s == nil:
		case l.waits >= unit || w.now > s.asked+loanHeed:
			delete(l.spares, pair.To)
		default:
			s.ripe = s.threads > 0 && ev.Applied >= s.gen && l.out[pair.To] <= w.room(pair.To, 1)
		}
	}
	if l.waits < unit || w.now < l.askAt || len(w.mates) < 2 {
		return
	}
	l.askAt = w.now + loanAsk
	best, most := "", 0.0
	for _, pair := range w.plan.Pairs {
		if pair.From == w.zone && pair.Cap > most && l.out[pair.To]+unit > w.room(pair.To, 1) {
			best, most = pair.To, pair.Cap
		}
	}
	if best == "" || len(l.asked) >= mostLoans || len(l.got) >= mostLoans {
		return
	}
	l.nonce++
	nonce := uint64(rank(w.name, best))<<32 ^ l.nonce
	l.asked[nonce] = question{best, w.now}
	for range min(loanMates, len(w.mates)-1) {
		if l.turn++; w.mates[l.turn%len(w.mates)] == w.name {
			l.turn++
		}
		w.do(Effect{Kind: RequestLoan, To: w.mates[l.turn%len(w.mates)], Zone: best, Number: nonce})
	}
}

// loanAsked answers a mate: with a loan of what is ripe; else it keeps something for the next time, if it has more than it uses.
func (w *Monitor) loanAsked(ev *Event) {
	l, unit := &w.loans, max(1, w.bounds.MinShare)
	if !slices.Contains(w.mates, ev.From) || ev.From == w.name || !w.lendable() || l.waits >= unit || len(l.lent) >= mostLoans {
		return
	}
	if slices.ContainsFunc(l.lent, func(x loan) bool { return x.nonce == ev.PlanNumber }) {
		return // it came twice
	}
	s := l.spares[ev.Zone]
	if s == nil {
		if len(l.spares) >= mostZones {
			return
		}
		s = &spare{}
		l.spares[ev.Zone] = s
	}
	s.asked = w.now
	if s.ripe && s.threads >= unit {
		give := unit * math.Ceil(s.threads/unit/2)
		s.threads -= give
		l.lent = append(l.lent, loan{ev.Zone, ev.PlanNumber, give, w.now + w.loanMS() + loanGrace})
		l.Lent++
		w.do(Effect{Kind: GrantLoan, To: ev.From, Zone: ev.Zone, Number: ev.PlanNumber, Threads: give})
	}
	if idle := math.Floor((w.room(ev.Zone, 1)-l.out[ev.Zone])/unit) - 1; idle >= 1 { // one is left for what may come
		own := w.plan.Pair(w.zone, ev.Zone).part(w.name)
		if more := min(unit*math.Ceil(idle/2), math.Floor(own/2/unit)*unit-s.threads); more >= unit {
			s.threads += more
			s.ripe, s.gen = false, w.gen+1
			w.open()
		}
	}
}

// loanGiven takes a loan in answer to a question, for what is left of its time since that was asked. Another's answer to the same one
// comes beside it.
func (w *Monitor) loanGiven(ev *Event) {
	l := &w.loans
	q, known := l.asked[ev.PlanNumber]
	if !known || q.place != ev.Zone || !(ev.Threads > 0) || ev.Threads > mostOf || !slices.Contains(w.mates, ev.From) ||
		w.now >= q.at+w.loanMS() || len(l.got) >= mostLoans {
		return
	}
	from := uint64(rank(ev.From, ""))<<32 | ev.PlanNumber&math.MaxUint32
	if slices.ContainsFunc(l.got, func(x loan) bool { return x.nonce == from }) {
		return // it came twice
	}
	l.got = append(l.got, loan{ev.Zone, from, ev.Threads, q.at + w.loanMS()})
	l.Borrowed++
	w.open()
}

package locality

import (
	"math"
	"slices"
)

// Controllers of a zone lend one another what they do not use of their shares, as shares are whole requests and small where there are many
// controllers. A lender first lowers its scheduler's limit and lends only once the scheduler is seen to be within it. It does without for
// longer than the borrower may use the loan, whose time counts from the request. So what all may use of a cap stays within it, whatever
// becomes of messages.

const (
	maxLoanMS         = 1500 // for which a loan may be used, or a third of the lease if that is shorter
	loanGraceMS       = 300  // for which a lender does without in addition
	loanRequestMS     = 150  // between two requests
	loanPeers         = 2    // members that are asked at a time, by turns
	reservationMS     = 1000 // for which a lender keeps a reservation without a request
	maxLoans          = 256
	maxLoanThreads    = 1024
	loanLeaseDivisor  = 3
	reservationFactor = 2 // a lender reserves or lends a half at a time
)

// loan is what was lent or borrowed.
type loan struct {
	zone    string
	id      uint64
	threads float64
	until   float64
}

// reservation is what a controller does not use of its share of a zone, in order to lend it.
type reservation struct {
	threads      float64
	requestedAt  float64
	reachVersion uint64 // from which on the scheduler's limit is lower by the reservation
	available    bool   // the scheduler is within the lower limit
}

// loanRequest is a request that may still be answered.
type loanRequest struct {
	zone string
	at   float64
}

// loanBook is a controller's record of loans.
type loanBook struct {
	lent, borrowed []loan
	reservations   map[string]*reservation
	requests       map[uint64]loanRequest
	sequence       uint64
	turn           int
	requestAt      float64
	inFlight       map[string]float64 // by zone, as observed last
	waiting        float64            // threads that are needed and not in flight

	lentCount, borrowedCount uint64
}

func newLoanBook() loanBook {
	return loanBook{reservations: map[string]*reservation{}, requests: map[uint64]loanRequest{}, inFlight: map[string]float64{}}
}

func (m *Monitor) loanMS() float64 { return min(maxLoanMS, m.settings.LeaseMS/loanLeaseDivisor) }

// loanUnit is the smallest loan.
func (m *Monitor) loanUnit() float64 { return max(1, m.settings.MinShare) }

// mayLend reports whether the confirmation of this controller's shares outlives a loan.
func (m *Monitor) mayLend() bool {
	return m.settings.LeaseMS-(m.now-m.confirmedAt) > m.loanMS()+loanGraceMS && m.validity() == 1
}

// capacityOf returns the threads that this controller's scheduler may use in a zone: its share without what is lent or reserved, and what it
// has borrowed.
func (m *Monitor) capacityOf(zone string, validity float64) float64 {
	threads := m.plan.Pair(m.zone, zone).threadsOf(m.name)
	for _, l := range m.loans.lent {
		if l.zone == zone {
			threads -= l.threads
		}
	}
	if r := m.loans.reservations[zone]; r != nil {
		threads -= r.threads
	}
	threads = math.Floor(max(0, threads) * validity)
	for _, l := range m.loans.borrowed {
		if l.zone == zone {
			threads += l.threads
		}
	}
	return threads
}

// expireLoans ends loans whose time is over, and requests that can't be answered any more.
func (m *Monitor) expireLoans() {
	isOver := func(l loan) bool { return m.now >= l.until }
	m.loans.lent = slices.DeleteFunc(m.loans.lent, isOver)
	m.loans.borrowed = slices.DeleteFunc(m.loans.borrowed, isOver)
	for id, request := range m.loans.requests {
		if m.now >= request.at+m.loanMS() {
			delete(m.loans.requests, id)
		}
	}
}

// reviewLoans takes what is in flight: reservations become available or are given up, and a loan is requested where shares do not suffice.
func (m *Monitor) reviewLoans(ev *Event) {
	b := &m.loans
	clear(b.inFlight)
	total := 0.0
	for k := range ev.Executors {
		b.inFlight[ev.Executors[k].Zone] += ev.Executors[k].InFlight
		total += ev.Executors[k].InFlight
	}
	b.waiting = max(0, ev.DemandThreads-total)
	m.reviewReservations(ev.Applied)
	if b.waiting < m.loanUnit() || m.now < b.requestAt || len(m.zoneMembers) < 2 {
		return
	}
	b.requestAt = m.now + loanRequestMS
	zone := m.exhaustedZone()
	if zone == "" || len(b.requests) >= maxLoans || len(b.borrowed) >= maxLoans {
		return
	}
	m.requestLoan(zone)
}

// reviewReservations gives reservations up that are needed here or not wanted any more, and finds out which may be lent.
func (m *Monitor) reviewReservations(applied uint64) {
	b := &m.loans
	for _, pair := range m.plan.Pairs {
		r := b.reservations[pair.To]
		if pair.From != m.zone || r == nil {
			continue
		}
		if b.waiting >= m.loanUnit() || m.now > r.requestedAt+reservationMS {
			delete(b.reservations, pair.To)
			continue
		}
		r.available = r.threads > 0 && applied >= r.reachVersion && b.inFlight[pair.To] <= m.capacityOf(pair.To, 1)
	}
}

// exhaustedZone returns the zone with the largest cap in which this controller has no capacity left, or "".
func (m *Monitor) exhaustedZone() (zone string) {
	largest := 0.0
	for _, pair := range m.plan.Pairs {
		if pair.From != m.zone || pair.Cap <= largest {
			continue
		}
		if m.loans.inFlight[pair.To]+m.loanUnit() > m.capacityOf(pair.To, 1) {
			zone = pair.To
			largest = pair.Cap
		}
	}
	return zone
}

// requestLoan asks some members of this zone, by turns.
func (m *Monitor) requestLoan(zone string) {
	b := &m.loans
	b.sequence++
	id := uint64(rank(m.name, zone))<<32 ^ b.sequence
	b.requests[id] = loanRequest{zone, m.now}
	for range min(loanPeers, len(m.zoneMembers)-1) {
		b.turn++
		if m.zoneMembers[b.turn%len(m.zoneMembers)] == m.name {
			b.turn++
		}
		m.emit(Effect{Kind: RequestLoan, To: m.zoneMembers[b.turn%len(m.zoneMembers)], Zone: zone, Number: id})
	}
}

// handleLoanRequest answers with a loan of what is reserved and available. Then it reserves something for the next request, if more is
// unused.
func (m *Monitor) handleLoanRequest(ev *Event) {
	b := &m.loans
	isPeer := slices.Contains(m.zoneMembers, ev.From) && ev.From != m.name
	if !isPeer || !m.mayLend() || b.waiting >= m.loanUnit() || len(b.lent) >= maxLoans {
		return
	}
	if slices.ContainsFunc(b.lent, func(l loan) bool { return l.id == ev.PlanNumber }) {
		return // a duplicate
	}
	r := b.reservations[ev.Zone]
	if r == nil {
		if len(b.reservations) >= maxZones {
			return
		}
		r = &reservation{}
		b.reservations[ev.Zone] = r
	}
	r.requestedAt = m.now
	if r.available && r.threads >= m.loanUnit() {
		m.grantLoan(ev, r)
	}
	m.extendReservation(ev.Zone, r)
}

// grantLoan lends half of a reservation.
func (m *Monitor) grantLoan(ev *Event, r *reservation) {
	b := &m.loans
	unit := m.loanUnit()
	threads := unit * math.Ceil(r.threads/unit/reservationFactor)
	r.threads -= threads
	b.lent = append(b.lent, loan{ev.Zone, ev.PlanNumber, threads, m.now + m.loanMS() + loanGraceMS})
	b.lentCount++
	m.emit(Effect{Kind: GrantLoan, To: ev.From, Zone: ev.Zone, Number: ev.PlanNumber, Threads: threads})
}

// extendReservation reserves half of what is unused, but for one unit, and no more than half of the share.
func (m *Monitor) extendReservation(zone string, r *reservation) {
	unit := m.loanUnit()
	unused := math.Floor((m.capacityOf(zone, 1)-m.loans.inFlight[zone])/unit) - 1
	if unused < 1 {
		return
	}
	share := m.plan.Pair(m.zone, zone).threadsOf(m.name)
	most := math.Floor(share/reservationFactor/unit)*unit - r.threads
	more := min(unit*math.Ceil(unused/reservationFactor), most)
	if more < unit {
		return
	}
	r.threads += more
	r.available = false
	r.reachVersion = m.reachVersion + 1
	m.updateReach()
}

// handleLoan takes a loan in answer to a request, for what is left of its time since the request. Several members may answer one request.
func (m *Monitor) handleLoan(ev *Event) {
	b := &m.loans
	request, known := b.requests[ev.PlanNumber]
	if !known || request.zone != ev.Zone || m.now >= request.at+m.loanMS() {
		return
	}
	if !(ev.Threads > 0) || ev.Threads > maxLoanThreads || !slices.Contains(m.zoneMembers, ev.From) || len(b.borrowed) >= maxLoans {
		return
	}
	id := uint64(rank(ev.From, ""))<<32 | ev.PlanNumber&math.MaxUint32
	if slices.ContainsFunc(b.borrowed, func(l loan) bool { return l.id == id }) {
		return // a duplicate
	}
	b.borrowed = append(b.borrowed, loan{ev.Zone, id, ev.Threads, request.at + m.loanMS()})
	b.borrowedCount++
	m.updateReach()
}

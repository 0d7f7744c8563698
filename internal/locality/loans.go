package locality

import (
	"math"
	"slices"
)

// Controllers of a zone lend one another the part of their shares that they do not use, because shares are multiples of
// the largest request and small in a zone with many controllers. A lender first reserves threads, which lowers its
// scheduler's limit, and lends them only once its scheduler is observed to be within the lower limit. The lender gives
// the threads up for longer than the borrower may use them, whose time counts from the request. So the controllers
// together never exceed a cap, even if messages are lost, late or duplicated.

const (
	maxLoanDurationMS     = 1500 // for which a borrower may use a loan
	loanLeaseDivisor      = 3    // a loan lasts no longer than the lease divided by this
	loanGraceMS           = 300  // for which a lender still counts an expired loan as in use
	loanRequestIntervalMS = 150  // between the loan requests of a controller
	peersPerLoanRequest   = 2    // members that are asked at a time, in rotation
	reservationTimeoutMS  = 1000 // after the last request for a reservation, it is released
	reservationDivisor    = 2    // a lender reserves and lends half of what it can at a time
	maxLoans              = 256
	maxLoanThreads        = 1024
)

// loan is an amount of threads that was lent or borrowed.
type loan struct {
	zone    string // of the executors
	id      uint64
	threads float64
	until   float64 // when the loan ends for this controller
}

// reservation is an unused part of a controller's share of a zone, held back in order to lend it.
type reservation struct {
	threads      float64
	requestedAt  float64 // when a loan in the zone was last requested
	reachVersion uint64  // first version of the scheduler's limits without the reserved threads
	available    bool    // the scheduler was observed to be within those limits, so the threads can be lent
}

// loanRequest is a request of this controller that members may still answer.
type loanRequest struct {
	zone string
	at   float64
}

// loanState is a controller's loans, in both roles, with the observations on which they are based.
type loanState struct {
	lent, borrowed []loan
	reservations   map[string]*reservation // by zone
	requests       map[uint64]loanRequest  // by ID
	sequence       uint64                  // of the last request
	peerIndex      int                     // of the member of the zone that was asked last, modulo their number
	nextRequestAt  float64
	inFlight       map[string]float64 // threads by zone, at the last observation
	waiting        float64            // threads that requests needed and did not have, at the last observation

	lentCount, borrowedCount uint64
}

func newLoanState() loanState {
	return loanState{
		reservations: map[string]*reservation{},
		requests:     map[uint64]loanRequest{},
		inFlight:     map[string]float64{},
	}
}

// loanDurationMS returns how long after its request a loan may be used.
func (m *Monitor) loanDurationMS() float64 {
	return min(maxLoanDurationMS, m.settings.LeaseMS/loanLeaseDivisor)
}

// loanUnit returns the threads of the smallest loan. Larger loans are multiples of it.
func (m *Monitor) loanUnit() float64 { return max(1, m.settings.MinShare) }

// mayLend reports whether the lease of this controller's shares outlasts a loan made now.
func (m *Monitor) mayLend() bool {
	return m.settings.LeaseMS-(m.now-m.sharesConfirmedAt) > m.loanDurationMS()+loanGraceMS && m.validFraction() == 1
}

// capacityOf returns the threads that this controller's scheduler may use in a zone: the valid fraction of its share
// less lent and reserved threads, plus borrowed threads.
func (m *Monitor) capacityOf(zone string, validFraction float64) float64 {
	threads := m.plan.Pair(m.zone, zone).threadsOf(m.name)
	for _, l := range m.loans.lent {
		if l.zone == zone {
			threads -= l.threads
		}
	}
	if r := m.loans.reservations[zone]; r != nil {
		threads -= r.threads
	}
	threads = math.Floor(max(0, threads) * validFraction)
	for _, l := range m.loans.borrowed {
		if l.zone == zone {
			threads += l.threads
		}
	}
	return threads
}

// expireLoans deletes expired loans, and requests whose loans would have expired.
func (m *Monitor) expireLoans() {
	isExpired := func(l loan) bool { return m.now >= l.until }
	m.loans.lent = slices.DeleteFunc(m.loans.lent, isExpired)
	m.loans.borrowed = slices.DeleteFunc(m.loans.borrowed, isExpired)
	for id, request := range m.loans.requests {
		if m.now >= request.at+m.loanDurationMS() {
			delete(m.loans.requests, id)
		}
	}
}

// reviewLoans updates the reservations after an observation, and requests a loan if this controller's capacity does not
// suffice.
func (m *Monitor) reviewLoans(ev *Event) {
	loans := &m.loans
	clear(loans.inFlight)
	total := 0.0
	for k := range ev.Executors {
		loans.inFlight[ev.Executors[k].Zone] += ev.Executors[k].InFlight
		total += ev.Executors[k].InFlight
	}
	loans.waiting = max(0, ev.DemandThreads-total)
	m.reviewReservations(ev.AppliedReachVersion)
	if loans.waiting < m.loanUnit() || m.now < loans.nextRequestAt || len(m.zoneMembers) < 2 {
		return
	}
	loans.nextRequestAt = m.now + loanRequestIntervalMS
	zone := m.exhaustedZone()
	if zone == "" || len(loans.requests) >= maxLoans || len(loans.borrowed) >= maxLoans {
		return
	}
	m.requestLoan(zone)
}

// reviewReservations releases reservations that this controller needs or that no member requests any more, and marks
// the others as available once the scheduler, with the limits of version applied, is within its capacity.
func (m *Monitor) reviewReservations(applied uint64) {
	loans := &m.loans
	for _, pair := range m.plan.Pairs {
		reserved := loans.reservations[pair.To]
		if pair.From != m.zone || reserved == nil {
			continue
		}
		if loans.waiting >= m.loanUnit() || m.now > reserved.requestedAt+reservationTimeoutMS {
			delete(loans.reservations, pair.To)
			continue
		}
		isWithinLimit := applied >= reserved.reachVersion && loans.inFlight[pair.To] <= m.capacityOf(pair.To, 1)
		reserved.available = reserved.threads > 0 && isWithinLimit
	}
}

// exhaustedZone returns the zone with the largest cap in which this controller has no capacity for another request, or
// "" if there is none.
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

// requestLoan asks the next members of this controller's zone for a loan in a zone.
func (m *Monitor) requestLoan(zone string) {
	loans := &m.loans
	loans.sequence++
	id := uint64(memberHash(m.name, zone))<<32 ^ loans.sequence
	loans.requests[id] = loanRequest{zone, m.now}
	for range min(peersPerLoanRequest, len(m.zoneMembers)-1) {
		loans.peerIndex++
		if m.zoneMembers[loans.peerIndex%len(m.zoneMembers)] == m.name {
			loans.peerIndex++
		}
		m.emit(Effect{Kind: RequestLoan, To: m.zoneMembers[loans.peerIndex%len(m.zoneMembers)], Zone: zone, Number: id})
	}
}

// handleLoanRequest lends threads that are reserved and available. Then it reserves more for later requests, if this
// controller has unused capacity.
func (m *Monitor) handleLoanRequest(ev *Event) {
	loans := &m.loans
	isPeer := slices.Contains(m.zoneMembers, ev.From) && ev.From != m.name
	if !isPeer || !m.mayLend() || loans.waiting >= m.loanUnit() || len(loans.lent) >= maxLoans {
		return
	}
	if slices.ContainsFunc(loans.lent, func(l loan) bool { return l.id == ev.Number }) {
		return // duplicate
	}
	reserved := loans.reservations[ev.Zone]
	if reserved == nil {
		if len(loans.reservations) >= maxZones {
			return
		}
		reserved = &reservation{}
		loans.reservations[ev.Zone] = reserved
	}
	reserved.requestedAt = m.now
	if reserved.available && reserved.threads >= m.loanUnit() {
		m.grantLoan(ev, reserved)
	}
	m.extendReservation(ev.Zone, reserved)
}

// grantLoan lends half of a reservation, rounded up to whole loan units.
func (m *Monitor) grantLoan(request *Event, reserved *reservation) {
	loans := &m.loans
	unit := m.loanUnit()
	threads := unit * math.Ceil(reserved.threads/unit/reservationDivisor)
	reserved.threads -= threads
	until := m.now + m.loanDurationMS() + loanGraceMS
	loans.lent = append(loans.lent, loan{request.Zone, request.Number, threads, until})
	loans.lentCount++
	m.emit(Effect{Kind: GrantLoan, To: request.From, Zone: request.Zone, Number: request.Number, Threads: threads})
}

// extendReservation reserves half of the unused capacity in a zone less one unit. A reservation is never larger than
// half of the controller's share.
func (m *Monitor) extendReservation(zone string, reserved *reservation) {
	unit := m.loanUnit()
	unused := math.Floor((m.capacityOf(zone, 1)-m.loans.inFlight[zone])/unit) - 1
	if unused < 1 {
		return
	}
	share := m.plan.Pair(m.zone, zone).threadsOf(m.name)
	most := math.Floor(share/reservationDivisor/unit)*unit - reserved.threads
	more := min(unit*math.Ceil(unused/reservationDivisor), most)
	if more < unit {
		return
	}
	reserved.threads += more
	reserved.available = false
	reserved.reachVersion = m.reachVersion + 1
	m.updateReach()
}

// handleLoan records a loan that answers a request of this controller. The loan ends at a fixed time after the request,
// however long the answer took. Several members may answer one request.
func (m *Monitor) handleLoan(ev *Event) {
	loans := &m.loans
	request, known := loans.requests[ev.Number]
	if !known || request.zone != ev.Zone || m.now >= request.at+m.loanDurationMS() {
		return
	}
	isValid := ev.Threads > 0 && ev.Threads <= maxLoanThreads && slices.Contains(m.zoneMembers, ev.From)
	if !isValid || len(loans.borrowed) >= maxLoans {
		return
	}
	id := uint64(memberHash(ev.From, ""))<<32 | ev.Number&math.MaxUint32
	if slices.ContainsFunc(loans.borrowed, func(l loan) bool { return l.id == id }) {
		return // duplicate
	}
	loans.borrowed = append(loans.borrowed, loan{ev.Zone, id, ev.Threads, request.at + m.loanDurationMS()})
	loans.borrowedCount++
	m.updateReach()
}

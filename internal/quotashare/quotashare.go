// Package quotashare decides which share of the installation's ceilings this controller may use. Each of n
// controllers owns 1/n. A controller with spare share lends some of it for a limited time to one that asks. The
// package has no I/O, clock or goroutines: messages and a time in ms go in, messages and a share come out.
//
// The shares in use never add up to more than 1, even if messages are lost, delayed, duplicated or reordered, and
// controllers are partitioned or restart: a lender gives up a share before it sends the loan, and takes it back
// later than the borrower stops using it. The borrower's lease starts when it sends the loan request, the lender's
// when it receives the request, which is later, so no two clocks are compared.
package quotashare

import (
	"encoding/binary"
	"slices"
)

const (
	// leaseMS is how long a loan may be used, counted from its request. The share of a failed borrower returns to the
	// lender leaseMS and lenderGraceMS after the request was received.
	leaseMS           = 2000
	lenderGraceMS     = 400 // added to the lease by the lender, as the clocks of two machines may drift
	requestIntervalMS = 500 // between loan requests: a loan is renewed three times before it ends

	fullShare    = 10000 // shares are counted in ten-thousandths
	minLoan      = 20    // smaller loans are not made
	reserveShare = 0.1   // fraction of its own share that a lender keeps in reserve
	lendShare    = 0.5   // fraction of the spare share that goes into one loan

	kindRequest  = 0
	kindLoan     = 1
	requestBytes = 1 + 1 + 8     // tag, kind, nonce
	loanBytes    = 1 + 1 + 8 + 2 // tag, kind, nonce, amount
)

// Tag is the first byte of every message of this package. Messages of the scheduler begin with other bytes.
const Tag = 2

// Message is a message to another controller, or to all others if To is negative.
type Message struct {
	To   int
	Data []byte
}

// demand is how much of its share this controller uses.
type demand uint8

const (
	satisfied demand = iota // the busiest team uses at most 1-reserveShare of its ceiling
	saturated               // the busiest team uses more than that
	starved                 // a team waits at its ceiling
)

// String returns the name of the demand.
func (d demand) String() string {
	return [...]string{satisfied: "satisfied", saturated: "saturated", starved: "starved"}[d]
}

// demandPolicies says by demand whether a controller asks for loans, and whether it lends.
var demandPolicies = [...]struct{ borrows, lends bool }{
	satisfied: {false, true},
	saturated: {false, false},
	starved:   {true, false},
}

// loan is a share that was lent or borrowed.
type loan struct {
	controller int // the other party; -1: unknown
	amount     int // in ten-thousandths
	until      float64
	nonce      uint64 // of the loan request
}

// Shares tracks the share of the ceilings that one controller may use.
type Shares struct {
	controllers   int
	index         int // of this controller
	messaging     bool
	seed          uint64
	own           int     // share without loans
	used          float64 // fraction of its ceiling that the busiest team uses
	demand        demand
	lent          []loan
	borrowed      []loan
	nonceCounter  uint64 // loan requests sent so far
	lastRequestAt float64
	pending       map[uint64]float64 // send times of the loan requests that may still be answered, by nonce
}

// New returns the share of the controller with the given index, of n, when it starts. As an earlier incarnation of
// the controller may have lent all that it could, that part counts as lent at first. Without messaging, shares are
// fixed.
func New(now float64, n, index int, messaging bool, seed uint64) *Shares {
	n = max(1, n)
	s := &Shares{
		controllers:   n,
		index:         index,
		messaging:     messaging && n > 1,
		seed:          seed,
		own:           fullShare / n,
		pending:       map[uint64]float64{},
		lastRequestAt: now - requestIntervalMS,
	}
	if s.messaging {
		lendable := s.own - int(reserveShare*float64(s.own))
		s.lent = append(s.lent, loan{controller: -1, amount: lendable, until: now + leaseMS + lenderGraceMS})
	}
	return s
}

// SetControllers raises the number of controllers that own a share. A lower number is ignored, as a controller that
// is no longer heard of may still use its share.
func (s *Shares) SetControllers(n int) {
	if n > s.controllers {
		s.controllers, s.own = n, fullShare/n
	}
}

// Share returns the share that may be used now, from 0 to 1.
func (s *Shares) Share(now float64) float64 {
	s.expire(now)
	sum := s.own
	for _, l := range s.lent {
		sum -= l.amount
	}
	for _, l := range s.borrowed {
		sum += l.amount
	}
	return float64(max(0, sum)) / fullShare
}

// expire ends the loans whose lease is over, and drops the loan requests that can no longer be answered.
func (s *Shares) expire(now float64) {
	expired := func(l loan) bool { return now >= l.until }
	s.lent = slices.DeleteFunc(s.lent, expired)
	s.borrowed = slices.DeleteFunc(s.borrowed, expired)
	for nonce, sentAt := range s.pending {
		if now >= sentAt+leaseMS {
			delete(s.pending, nonce)
		}
	}
}

// Tick updates the demand of this controller from the fraction that its busiest team uses of its ceiling, and from
// whether a team waits at its ceiling. It returns the messages to send.
func (s *Shares) Tick(now, used float64, waits bool) []Message {
	s.expire(now)
	s.used = used
	switch {
	case waits:
		s.demand = starved
	case used > 1-reserveShare:
		s.demand = saturated
	default:
		s.demand = satisfied
	}
	if !s.messaging || !demandPolicies[s.demand].borrows || now < s.lastRequestAt+requestIntervalMS {
		return nil
	}
	s.lastRequestAt = now
	s.nonceCounter++
	nonce := s.seed ^ s.nonceCounter<<16 ^ uint64(s.index)
	s.pending[nonce] = now
	data := binary.BigEndian.AppendUint64([]byte{Tag, kindRequest}, nonce)
	return []Message{{To: -1, Data: data}}
}

// HandleMessage processes a message from another controller and returns the answers. Malformed messages are ignored.
func (s *Shares) HandleMessage(now float64, from int, data []byte) []Message {
	s.expire(now)
	if !s.messaging || !s.isPeer(from) || len(data) < requestBytes || data[0] != Tag {
		return nil
	}
	nonce := binary.BigEndian.Uint64(data[2:])
	switch {
	case data[1] == kindRequest && len(data) == requestBytes:
		return s.lend(now, from, nonce)
	case data[1] == kindLoan && len(data) == loanBytes:
		s.borrow(now, from, nonce, int(binary.BigEndian.Uint16(data[requestBytes:])))
	}
	return nil
}

func (s *Shares) isPeer(controller int) bool {
	return controller >= 0 && controller < s.controllers && controller != s.index
}

// lend answers a loan request once, with a part of the spare share. An earlier loan to the same controller continues
// beside the new one; both stay deducted from this controller's share until they expire.
func (s *Shares) lend(now float64, to int, nonce uint64) []Message {
	if !demandPolicies[s.demand].lends {
		return nil
	}
	lentToBorrower, left := 0, s.own
	for _, l := range s.lent {
		if l.nonce == nonce {
			return nil // duplicate of a request that was answered
		}
		left -= l.amount
		if l.controller == to {
			lentToBorrower += l.amount
		}
	}
	spare := float64(left) - float64(s.own)*min(1, s.used+reserveShare)
	amount := int(lendShare * spare)
	if amount < minLoan || lentToBorrower+amount > s.own {
		return nil
	}
	s.lent = append(s.lent, loan{controller: to, amount: amount, until: now + leaseMS + lenderGraceMS, nonce: nonce})
	data := binary.BigEndian.AppendUint64([]byte{Tag, kindLoan}, nonce)
	return []Message{{To: to, Data: binary.BigEndian.AppendUint16(data, uint16(amount))}}
}

// borrow accepts a loan that answers a pending loan request. Its lease is counted from when the request was sent.
func (s *Shares) borrow(now float64, from int, nonce uint64, amount int) {
	sentAt, ok := s.pending[nonce]
	if !ok || amount > fullShare || now >= sentAt+leaseMS {
		return
	}
	duplicate := slices.ContainsFunc(s.borrowed, func(l loan) bool { return l.nonce == nonce && l.controller == from })
	if !duplicate {
		s.borrowed = append(s.borrowed, loan{controller: from, amount: amount, until: sentAt + leaseMS, nonce: nonce})
	}
}

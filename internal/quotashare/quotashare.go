// Package quotashare decides which share of the installation's ceilings this controller may use. Each of n controllers owns an n-th;
// one that has more than it needs lends to one that asks, for a time. The package has no I/O, clock or goroutine: messages and a
// time in ms go in, messages and a share come out.
//
// Whatever becomes of messages, lost, late, doubled or out of order, and whoever is cut off or comes back, the shares in use add up to
// one at most: a lender does without before it lends, and for longer than the borrower may use the loan. The borrower counts
// from when it asked, the lender from when it received the question, which is later; so no two clocks are compared.
package quotashare

import (
	"encoding/binary"
	"slices"
)

const (
	leaseMS       = 2000 // for which a loan may be used, from the question on: a dead borrower's share is back in that time
	lenderGraceMS = 400  // that a lender does without for longer, as clocks of two machines may drift
	askIntervalMS = 500  // between questions: a loan is renewed three times before it ends

	fullShare    = 10000 // shares are counted in ten-thousandths
	minLoan      = 20
	reserveShare = 0.1 // of its own share that a lender keeps
	lendShare    = 0.5 // of what it has to spare that it lends to one

	kindAsk   = 0
	kindLoan  = 1
	askBytes  = 1 + 1 + 8
	loanBytes = 1 + 1 + 8 + 2
)

// Tag is the first byte of these messages. Those of the scheduler begin otherwise.
const Tag = 2

// Message is what goes to another controller, or to all where To is below 0.
type Message struct {
	To   int
	Data []byte
}

// need is how this controller stands.
type need uint8

const (
	satisfied need = iota // it uses less than it has
	tight                 // it uses what it has
	starved               // a team waits at a ceiling
)

// String returns the name of the need.
func (n need) String() string {
	return [...]string{satisfied: "satisfied", tight: "tight", starved: "starved"}[n]
}

// needPolicies tells who asks, and who may lend.
var needPolicies = [...]struct{ asks, lends bool }{satisfied: {false, true}, tight: {false, false}, starved: {true, false}}

// loan is a share that was lent or borrowed.
type loan struct {
	controller int // the other one; -1: any
	amount     int
	until      float64
	nonce      uint64
}

// Shares is one controller's share of the ceilings.
type Shares struct {
	controllers int
	index       int // of this controller
	messaging   bool
	seed        uint64
	own         int
	used        float64 // of its ceiling, by the busiest team
	need        need
	lent        []loan
	borrowed    []loan
	nonce       uint64 // number of the last question
	askedAt     float64
	asked       map[uint64]float64 // questions that may still be answered: nonce, and when they were asked
}

// New returns the share of the controller of an index, of n, that starts now. What an earlier incarnation of it may have lent still
// counts as lent. Without messaging, shares are fixed.
func New(now float64, n, index int, messaging bool, seed uint64) *Shares {
	n = max(1, n)
	s := &Shares{controllers: n, index: index, messaging: messaging && n > 1, seed: seed, own: fullShare / n, asked: map[uint64]float64{},
		askedAt: now - askIntervalMS}
	if s.messaging {
		lendable := s.own - int(reserveShare*float64(s.own))
		s.lent = append(s.lent, loan{controller: -1, amount: lendable, until: now + leaseMS + lenderGraceMS})
	}
	return s
}

// SetControllers sets how many controllers own a share. More of them count at once; fewer never do, as one that is silent may still use its
// share.
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

// expire ends loans whose time is over, and drops questions that can't be answered any more.
func (s *Shares) expire(now float64) {
	over := func(l loan) bool { return now >= l.until }
	s.lent = slices.DeleteFunc(s.lent, over)
	s.borrowed = slices.DeleteFunc(s.borrowed, over)
	for nonce, at := range s.asked {
		if now >= at+leaseMS {
			delete(s.asked, nonce)
		}
	}
}

// Tick takes how this controller stands: the share of its ceiling that its busiest team uses, and whether a team waits at its ceiling.
// It returns what is to be sent.
func (s *Shares) Tick(now, used float64, waits bool) []Message {
	s.expire(now)
	s.used = used
	switch {
	case waits:
		s.need = starved
	case used > 1-reserveShare:
		s.need = tight
	default:
		s.need = satisfied
	}
	if !s.messaging || !needPolicies[s.need].asks || now < s.askedAt+askIntervalMS {
		return nil
	}
	s.askedAt = now
	s.nonce++
	nonce := s.seed ^ s.nonce<<16 ^ uint64(s.index)
	s.asked[nonce] = now
	data := binary.BigEndian.AppendUint64([]byte{Tag, kindAsk}, nonce)
	return []Message{{To: -1, Data: data}}
}

// HandleMessage takes a message of another controller and returns the answer. What can't be read is ignored.
func (s *Shares) HandleMessage(now float64, from int, data []byte) []Message {
	s.expire(now)
	if !s.messaging || !s.isPeer(from) || len(data) < askBytes || data[0] != Tag {
		return nil
	}
	nonce := binary.BigEndian.Uint64(data[2:])
	switch {
	case data[1] == kindAsk && len(data) == askBytes:
		return s.lend(now, from, nonce)
	case data[1] == kindLoan && len(data) == loanBytes:
		s.borrow(now, from, nonce, int(binary.BigEndian.Uint16(data[askBytes:])))
	}
	return nil
}

func (s *Shares) isPeer(controller int) bool {
	return controller >= 0 && controller < s.controllers && controller != s.index
}

// lend answers a question once, with a part of what is to spare. A loan to the same controller that still runs stays beside the new
// one: this controller does without both for their times.
func (s *Shares) lend(now float64, to int, nonce uint64) []Message {
	if !needPolicies[s.need].lends {
		return nil
	}
	lentToIt, left := 0, s.own
	for _, l := range s.lent {
		if l.nonce == nonce {
			return nil // the question was doubled on its way
		}
		left -= l.amount
		if l.controller == to {
			lentToIt += l.amount
		}
	}
	spare := float64(left) - float64(s.own)*min(1, s.used+reserveShare)
	amount := int(lendShare * spare)
	if amount < minLoan || lentToIt+amount > s.own {
		return nil
	}
	s.lent = append(s.lent, loan{controller: to, amount: amount, until: now + leaseMS + lenderGraceMS, nonce: nonce})
	data := binary.BigEndian.AppendUint64([]byte{Tag, kindLoan}, nonce)
	return []Message{{To: to, Data: binary.BigEndian.AppendUint16(data, uint16(amount))}}
}

// borrow takes a loan in answer to a question of this controller, for what is left of its time since that was asked.
func (s *Shares) borrow(now float64, from int, nonce uint64, amount int) {
	at, ok := s.asked[nonce]
	if !ok || amount > fullShare || now >= at+leaseMS {
		return
	}
	doubled := slices.ContainsFunc(s.borrowed, func(l loan) bool { return l.nonce == nonce && l.controller == from })
	if !doubled {
		s.borrowed = append(s.borrowed, loan{controller: from, amount: amount, until: at + leaseMS, nonce: nonce})
	}
}

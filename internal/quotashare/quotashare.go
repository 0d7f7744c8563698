// Package quotashare decides which part of the installation's ceilings this controller may use. Each of n controllers owns an
// n-th; who has more than it needs lends to who asks, for a time. It is free of I/O, clock and goroutines: messages and a
// time in ms go in, messages and a part come out.
//
// Whatever becomes of messages, lost, late, doubled or out of order, and whoever is cut off or comes back, the parts in use add up to
// one at most: a lender does without before it tells, and for longer than the borrower may use it. The borrower counts from
// when it asked, the lender from when it heard the question, which is later; so no two clocks are compared.
package quotashare

import "encoding/binary"

const (
	leaseMS  = 2000 // ms that a loan may be used for, from the asking: a dead borrower's part is back in that time
	graceMS  = 400  // ms longer that a lender does without: clocks of two machines may run apart by a part in a thousand, far less
	askMS    = 500  // ms between two askings: a loan is renewed three times before it ends
	spareMin = 0.1  // of its own part that a lender keeps for what may come
	lendPart = 0.5  // of what it has to spare that it lends to one
	least    = 20   // ten-thousandths below which nothing is lent
	whole    = 10000
	kindAsk  = 0
	kindLoan = 1
	// Tag is the first byte of these messages: those of the decision module begin otherwise.
	Tag     = 2
	askLen  = 1 + 1 + 8
	loanLen = 1 + 1 + 8 + 2
)

// Message is what goes to another controller, or to all where To is below 0.
type Message struct {
	To   int
	Data []byte
}

// need is how this controller stands.
type need uint8

const (
	content need = iota // uses less than it has
	tight               // uses what it has
	starved             // a team waits at a ceiling
)

// needTable says what follows at each look: who asks, and who may lend.
var needTable = [...]struct{ asks, lends bool }{content: {false, true}, tight: {false, false}, starved: {true, false}}

// loan is a part that was lent or borrowed.
type loan struct {
	who    int
	amount int
	until  float64
	nonce  uint64
}

// Shares is one controller's share of the ceilings.
type Shares struct {
	n, slot  int
	may      bool // messages are allowed
	seed     uint64
	home     int // ten-thousandths
	used     float64
	state    need
	lent     []loan
	borrowed []loan
	nonce    uint64
	askedAt  float64
	asked    map[uint64]float64 // nonces that may still be answered: when they were asked
}

// New gives the share of the controller numbered slot, of n, that starts now. What an earlier life of it may have lent is still
// out, and counts as lent.
func New(now float64, n, slot int, may bool, seed uint64) *Shares {
	n = max(1, n)
	p := &Shares{n: n, slot: slot, may: may && n > 1, seed: seed, home: whole / n, asked: map[uint64]float64{}, askedAt: now - askMS}
	if p.may {
		p.lent = append(p.lent, loan{-1, p.home - int(spareMin*float64(p.home)), now + leaseMS + graceMS, 0})
	}
	return p
}

// SetControllers tells how many controllers own a part. More of them count at once; fewer never do, as one that is not heard may still use
// its part.
func (p *Shares) SetControllers(n int) {
	if n > p.n {
		p.n, p.home = n, whole/n
	}
}

// Share is the part that may be used now, from 0 to 1.
func (p *Shares) Share(now float64) float64 {
	p.forget(now)
	sum := p.home
	for _, l := range p.lent {
		sum -= l.amount
	}
	for _, l := range p.borrowed {
		sum += l.amount
	}
	return float64(max(0, sum)) / whole
}

// forget ends loans whose time has come, and questions that can't be answered any more.
func (p *Shares) forget(now float64) {
	ends := func(list []loan) []loan {
		keep := list[:0]
		for _, l := range list {
			if now < l.until {
				keep = append(keep, l)
			}
		}
		return keep
	}
	p.lent, p.borrowed = ends(p.lent), ends(p.borrowed)
	for nonce, at := range p.asked {
		if now >= at+leaseMS {
			delete(p.asked, nonce)
		}
	}
}

// Tick tells how this controller stands: the share of its part that its busiest team at a ceiling uses, and whether one waits
// at it. It gives what is to be sent.
func (p *Shares) Tick(now, used float64, waits bool) (out []Message) {
	p.forget(now)
	switch p.used = used; {
	case waits:
		p.state = starved
	case used > 1-spareMin:
		p.state = tight
	default:
		p.state = content
	}
	if !p.may || !needTable[p.state].asks || now < p.askedAt+askMS {
		return nil
	}
	p.askedAt = now
	p.nonce++
	nonce := p.seed ^ p.nonce<<16 ^ uint64(p.slot)
	p.asked[nonce] = now
	data := binary.BigEndian.AppendUint64([]byte{Tag, kindAsk}, nonce)
	return []Message{{-1, data}}
}

// HandleMessage takes a message of another controller. What can't be read is left alone.
func (p *Shares) HandleMessage(now float64, from int, data []byte) (out []Message) {
	p.forget(now)
	if !p.may || from < 0 || from >= p.n || from == p.slot || len(data) < askLen || data[0] != Tag {
		return nil
	}
	nonce := binary.BigEndian.Uint64(data[2:])
	switch {
	case data[1] == kindAsk && len(data) == askLen:
		return p.lend(now, from, nonce)
	case data[1] == kindLoan && len(data) == loanLen:
		p.borrow(now, from, nonce, int(binary.BigEndian.Uint16(data[askLen:])))
	}
	return nil
}

// lend answers a question once, with a part of what is to spare. A loan to the same one that still runs is not used in two
// ways: the new one comes beside it, and both are done without for their times.
func (p *Shares) lend(now float64, to int, nonce uint64) []Message {
	if !needTable[p.state].lends {
		return nil
	}
	out, here := 0, p.home
	for _, l := range p.lent {
		if l.nonce == nonce {
			return nil // doubled on its way
		}
		if here -= l.amount; l.who == to {
			out += l.amount
		}
	}
	spare := float64(here) - float64(p.home)*min(1, p.used+spareMin)
	amount := int(lendPart * spare)
	if amount < least || out+amount > p.home {
		return nil
	}
	p.lent = append(p.lent, loan{to, amount, now + leaseMS + graceMS, nonce})
	data := binary.BigEndian.AppendUint64([]byte{Tag, kindLoan}, nonce)
	return []Message{{to, binary.BigEndian.AppendUint16(data, uint16(amount))}}
}

// borrow takes a loan in answer to a question of this controller, for what is left of its time since that was asked.
func (p *Shares) borrow(now float64, from int, nonce uint64, amount int) {
	at, ok := p.asked[nonce]
	if !ok || amount > whole || now >= at+leaseMS {
		return
	}
	for _, l := range p.borrowed {
		if l.nonce == nonce && l.who == from {
			return // doubled on its way
		}
	}
	p.borrowed = append(p.borrowed, loan{from, amount, at + leaseMS, nonce})
}

package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// newPair returns two views that do not know each other.
func newPair() (a, b *View) {
	return New(0, "f", Member{Name: "a", Address: "1", Incarnation: 2}, []string{"2"}, DefaultSettings(), 1),
		New(0, "f", Member{Name: "b", Address: "2", Incarnation: 3}, []string{"1"}, DefaultSettings(), 2)
}

// introduce makes two views known to each other.
func introduce(a, b *View) {
	a.Step(1, &Event{Kind: DatagramReceived, From: "2", Data: b.encodeMessage(&message{kind: kindGossip}, nil)})
	b.Step(1, &Event{Kind: DatagramReceived, From: "1", Data: a.encodeMessage(&message{kind: kindGossip}, nil)})
}

// threeMemberFleet is a fleet of three members whose messages stay in queues until a step delivers them. The index of a
// member is also its name and address.
type threeMemberFleet struct {
	now          float64
	views        [3]*View
	links        [3][3][]Event // messages in transit, by sender and recipient
	incarnations [3]uint64
}

// stepChoices is the number of steps to choose from: deliver or lose a message on one of six links, let one of two
// times pass, or restart one of three members.
const stepChoices = 6 + 6 + 2 + 3

// newThreeMemberFleet returns a fleet whose members know each other.
func newThreeMemberFleet() *threeMemberFleet {
	fleet := &threeMemberFleet{}
	for k := range fleet.views {
		fleet.startMember(k)
	}
	for range 4 {
		fleet.settle()
		fleet.now += 100
	}
	return fleet
}

// startMember starts or restarts a member under a new incarnation.
func (f *threeMemberFleet) startMember(index int) {
	f.incarnations[index]++
	settings := DefaultSettings()
	settings.ProbeMS, settings.AnswerMS, settings.SuspectMS = 100, 40, 150
	self := Member{Name: fmt.Sprint(index), Address: fmt.Sprint(index), Incarnation: f.incarnations[index]}
	f.views[index] = New(f.now, "f", self, []string{"0", "1", "2"}, settings, uint32(index))
	f.handle(index, -1, Event{Kind: Ticked})
}

// handle passes an event to a member's view and queues the messages that it sends. A Reply goes to the member from.
func (f *threeMemberFleet) handle(index, from int, event Event) {
	for _, e := range f.views[index].Step(f.now, &event) {
		to := -1
		if len(e.To) == 1 {
			to = int(e.To[0] - '0')
		}
		switch {
		case e.Kind == Send && to >= 0:
			f.links[index][to] = append(f.links[index][to],
				Event{Kind: DatagramReceived, From: fmt.Sprint(index), Data: e.Data})
		case e.Kind == Exchange && to >= 0:
			f.links[index][to] = append(f.links[index][to],
				Event{Kind: ExchangeRequested, From: fmt.Sprint(index), Data: e.Data})
		case e.Kind == Reply:
			f.links[index][from] = append(f.links[index][from],
				Event{Kind: ExchangeAnswered, From: fmt.Sprint(index), Data: e.Data})
		}
	}
}

// takeMessage delivers or loses the oldest message of a link. It returns false if there is none.
func (f *threeMemberFleet) takeMessage(from, to int, deliver bool) bool {
	queue := f.links[from][to]
	if len(queue) == 0 {
		return false
	}
	f.links[from][to] = queue[1:]
	if deliver {
		f.handle(to, from, queue[0])
	}
	return true
}

// settle delivers messages until none is in transit, within a bound, and then passes a tick to each member.
func (f *threeMemberFleet) settle() {
	for n := 0; n < 200; n++ {
		moved := false
		for k := range 9 {
			moved = f.takeMessage(k/3, k%3, true) || moved
		}
		if !moved {
			break
		}
	}
	for k := range f.views {
		f.handle(k, -1, Event{Kind: Ticked})
	}
}

// linkEnds lists the sender and the recipient of each link.
var linkEnds = [6][2]int{{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}

// step takes the chosen step. It returns false if the step needs a message and there is none.
func (f *threeMemberFleet) step(choice int) bool {
	switch {
	case choice < 6:
		return f.takeMessage(linkEnds[choice][0], linkEnds[choice][1], true)
	case choice < 12:
		return f.takeMessage(linkEnds[choice-6][0], linkEnds[choice-6][1], false)
	case choice < 14:
		f.now += []float64{60, 400}[choice-12]
		for k := range f.views {
			f.handle(k, -1, Event{Kind: Ticked})
		}
	default:
		f.startMember(choice - 14)
	}
	return true
}

// assertInvariants checks that no view has a later incarnation or refutation of a member than the member itself, and
// that none has its own member as Suspect or Dead.
func (f *threeMemberFleet) assertInvariants(t *testing.T, path []int) {
	for k, view := range f.views {
		for o, other := range f.views {
			m, known := view.Find(fmt.Sprint(o))
			if !known {
				continue
			}
			valid := m.Incarnation <= f.incarnations[o] &&
				(m.Incarnation < other.Self().Incarnation || m.Refutation <= other.Self().Refutation)
			if o == k {
				valid = m.State != Suspect && m.State != Dead
			}
			assert.True(t, valid, "after steps %v, member %d has member %d as %+v, whose own record is %+v",
				path, k, o, m, other.Self())
		}
	}
}

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

// introduce lets two views learn of each other.
func introduce(a, b *View) {
	a.Step(1, &Event{Kind: DatagramReceived, From: "2", Data: b.encodeMessage(&message{kind: kindGossip}, nil)})
	b.Step(1, &Event{Kind: DatagramReceived, From: "1", Data: a.encodeMessage(&message{kind: kindGossip}, nil)})
}

// threeNodes is a fleet of three whose messages wait until a step delivers them.
type threeNodes struct {
	now          float64
	views        [3]*View
	links        [3][3][]Event
	incarnations [3]uint64
}

const stepChoices = 6 + 6 + 2 + 3 // deliver on a link, lose on a link, let time pass, restart a node

func newThreeNodes() *threeNodes {
	w := &threeNodes{}
	for k := range w.views {
		w.start(k)
	}
	for range 4 { // until all know each other
		w.settle()
		w.now += 100
	}
	return w
}

func (w *threeNodes) start(k int) {
	w.incarnations[k]++
	settings := DefaultSettings()
	settings.ProbeMS, settings.AnswerMS, settings.SuspectMS = 100, 40, 150
	w.views[k] = New(w.now, "f", Member{Name: fmt.Sprint(k), Address: fmt.Sprint(k), Incarnation: w.incarnations[k]}, []string{"0", "1", "2"}, settings, uint32(k))
	w.handle(k, -1, Event{Kind: Ticked})
}

func (w *threeNodes) handle(k, from int, ev Event) {
	for _, e := range w.views[k].Step(w.now, &ev) {
		to := -1
		if len(e.To) == 1 {
			to = int(e.To[0] - '0')
		}
		switch {
		case e.Kind == Send && to >= 0:
			w.links[k][to] = append(w.links[k][to], Event{Kind: DatagramReceived, From: fmt.Sprint(k), Data: e.Data})
		case e.Kind == Exchange && to >= 0:
			w.links[k][to] = append(w.links[k][to], Event{Kind: ExchangeRequested, From: fmt.Sprint(k), Data: e.Data})
		case e.Kind == Reply:
			w.links[k][from] = append(w.links[k][from], Event{Kind: ExchangeAnswered, From: fmt.Sprint(k), Data: e.Data})
		}
	}
}

func (w *threeNodes) take(from, to int, deliver bool) bool {
	q := w.links[from][to]
	if len(q) == 0 {
		return false
	}
	w.links[from][to] = q[1:]
	if deliver {
		w.handle(to, from, q[0])
	}
	return true
}

func (w *threeNodes) settle() {
	for n := 0; n < 200; n++ {
		moved := false
		for k := range 9 {
			moved = w.take(k/3, k%3, true) || moved
		}
		if !moved {
			break
		}
	}
	for k := range w.views {
		w.handle(k, -1, Event{Kind: Ticked})
	}
}

var pairs = [6][2]int{{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}

// step takes one step; false if there is no message for it.
func (w *threeNodes) step(choice int) bool {
	switch {
	case choice < 6:
		return w.take(pairs[choice][0], pairs[choice][1], true)
	case choice < 12:
		return w.take(pairs[choice-6][0], pairs[choice-6][1], false)
	case choice < 14:
		w.now += []float64{60, 400}[choice-12]
		for k := range w.views {
			w.handle(k, -1, Event{Kind: Ticked})
		}
	default:
		w.start(choice - 14)
	}
	return true
}

func (w *threeNodes) check(t *testing.T, path []int) {
	for k, v := range w.views {
		for o, other := range w.views {
			m, known := v.Find(fmt.Sprint(o))
			if !known {
				continue
			}
			good := m.Incarnation <= w.incarnations[o] && (m.Incarnation < other.Self().Incarnation || m.Refutation <= other.Self().Refutation)
			if o == k {
				good = m.State != Suspect && m.State != Dead
			}
			assert.True(t, good, "path %v: node %d knows node %d as %+v, which announces %+v", path, k, o, m, other.Self())
		}
	}
}

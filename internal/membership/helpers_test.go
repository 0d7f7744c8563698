package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// pair gives two views that have not met.
func pair() (a, b *View) {
	return New(0, "f", Member{Name: "a", Address: "1", Incarnation: 2}, []string{"2"}, DefaultSettings(), 1),
		New(0, "f", Member{Name: "b", Address: "2", Incarnation: 3}, []string{"1"}, DefaultSettings(), 2)
}

// meet lets two views hear of each other.
func meet(a, b *View) {
	a.Step(1, &Event{Kind: DatagramReceived, From: "2", Data: b.pack(&message{kind: gossip}, nil)})
	b.Step(1, &Event{Kind: DatagramReceived, From: "1", Data: a.pack(&message{kind: gossip}, nil)})
}

// walked is a fleet of three whose messages wait until they are chosen.
type walked struct {
	now   float64
	views [3]*View
	links [3][3][]Event
	lives [3]uint64
}

const choices = 6 + 6 + 2 + 3 // deliver on a link, lose there, time, restart one

func newWalk() *walked {
	w := &walked{}
	for k := range w.views {
		w.start(k)
	}
	for range 4 { // they have met
		w.settle()
		w.now += 100
	}
	return w
}

func (w *walked) start(k int) {
	w.lives[k]++
	settings := DefaultSettings()
	settings.ProbeMS, settings.AnswerMS, settings.SuspectMS = 100, 40, 150
	w.views[k] = New(w.now, "f", Member{Name: fmt.Sprint(k), Address: fmt.Sprint(k), Incarnation: w.lives[k]}, []string{"0", "1", "2"}, settings, uint32(k))
	w.play(k, -1, Event{Kind: Ticked})
}

func (w *walked) play(k, from int, ev Event) {
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

func (w *walked) take(from, to int, deliver bool) bool {
	q := w.links[from][to]
	if len(q) == 0 {
		return false
	}
	w.links[from][to] = q[1:]
	if deliver {
		w.play(to, from, q[0])
	}
	return true
}

func (w *walked) settle() {
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
		w.play(k, -1, Event{Kind: Ticked})
	}
}

var pairs = [6][2]int{{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}

// step makes one choice; false if there is nothing to do.
func (w *walked) step(choice int) bool {
	switch {
	case choice < 6:
		return w.take(pairs[choice][0], pairs[choice][1], true)
	case choice < 12:
		return w.take(pairs[choice-6][0], pairs[choice-6][1], false)
	case choice < 14:
		w.now += []float64{60, 400}[choice-12]
		for k := range w.views {
			w.play(k, -1, Event{Kind: Ticked})
		}
	default:
		w.start(choice - 14)
	}
	return true
}

func (w *walked) check(t *testing.T, path []int) {
	for k, v := range w.views {
		for o, other := range w.views {
			m, known := v.Find(fmt.Sprint(o))
			if !known {
				continue
			}
			good := m.Incarnation <= w.lives[o] && (m.Incarnation < other.Self().Incarnation || m.Refutation <= other.Self().Refutation)
			if o == k {
				good = m.State != Suspect && m.State != Dead
			}
			assert.True(t, good, "path %v: %d holds of %d %+v, which says %+v", path, k, o, m, other.Self())
		}
	}
}

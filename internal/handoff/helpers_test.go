package handoff

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// world is some estates that hear one another at once.
type world struct {
	t      *testing.T
	now    float64
	ends   []*Manager
	places []placement.Member
	table  placement.Table
	down   map[int]bool
	mute   func(from, to int, it *Item) bool // whether an item is lost on its way
	got    []map[EffectKind][]Effect         // by member, what is not carried here
	moves  []Effect
	deaf   bool // answers that something is kept are lost on their way
}

func newWorld(t *testing.T, n, copies int, change func(*Settings)) *world {
	w := &world{t: t, now: 1000, down: map[int]bool{}}
	settings := DefaultSettings()
	settings.Classes = []scheduler.RequestClass{
		{Name: "mark", Effect: scheduler.Keyed, DedupWindowMS: 20e3, DeadlineMS: 5e3},
		{Name: "once", Effect: scheduler.NonIdempotent, DeadlineMS: 5e3},
		{Name: "look", Effect: scheduler.Idempotent, DeadlineMS: 5e3},
	}
	settings.AdoptClasses = []string{"look"}
	if change != nil {
		change(&settings)
	}
	for k := range n {
		name := fmt.Sprint("n", k)
		w.places = append(w.places, placement.Member{Name: name, Incarnation: 1})
		w.ends = append(w.ends, New(Member{name, 1}, settings, uint32(k)))
		w.got = append(w.got, map[EffectKind][]Effect{})
	}
	w.table.Reassign(w.places, copies)
	require.NotEmpty(t, w.table.Partitions)
	w.seat()
	return w
}

// seat tells all what is agreed.
func (w *world) seat() {
	w.table.Step++
	for k := range w.ends {
		table := w.table.Clone()
		places := append([]placement.Member(nil), w.places...)
		w.step(k, &Event{Kind: PlacementChanged, Members: places, Table: &table})
	}
}

// lose has it agreed that a member is lost.
func (w *world) lose(k int) {
	w.down[k] = true
	w.places[k].Lost = true
	w.table.Reassign(w.places, 0)
	w.seat()
}

// tick lets time go by, and agrees to what is proposed.
func (w *world) tick(ms float64) {
	for until := w.now + ms; w.now < until; {
		w.now += 100
		for k := range w.ends {
			w.step(k, &Event{Kind: Ticked})
		}
		w.agree()
	}
}

func (w *world) agree() {
	for len(w.moves) > 0 {
		m := w.moves[0]
		w.moves = w.moves[1:]
		changed := false
		switch m.Proposal {
		case "ready":
			changed = w.table.MarkReady(w.places, m.Claim.Name, m.Claim.Incarnation, m.Claim.Partitions, m.Version)
		case "claim":
			changed = w.table.Claim(w.places, m.Claim)
		case "settled":
			changed = w.table.Settle(m.Claim)
		case "anew":
			changed = w.table.Reinitialize(w.places, m.Claim.Partitions)
		}
		if changed {
			w.seat()
		}
	}
}

func (w *world) step(k int, ev *Event) []Effect {
	if w.down[k] {
		return nil
	}
	ev.LeaseHeld = true
	effects := append([]Effect(nil), w.ends[k].Step(w.now, ev)...)
	said := make([][]byte, len(effects)) // as it is at the end of the step: what is said goes on changing
	for n, e := range effects {
		if e.Kind == SendBatch {
			said[n] = e.Batch.Append(nil, w.now)
		}
	}
	for n, e := range effects {
		switch e.Kind {
		case SendBatch:
			w.carry(k, e, said[n])
		case Propose:
			w.moves = append(w.moves, e)
		default:
			w.got[k][e.Kind] = append(w.got[k][e.Kind], e)
		}
	}
	return effects
}

// carry brings a batch to its member and the answer back, both as they go over the wire.
func (w *world) carry(k int, e Effect, data []byte) {
	sent := e.Batch
	back := func(b *Batch) { w.step(k, &Event{Kind: BatchAnswered, To: e.To, Sent: sent, Batch: b}) }
	to := -1
	for n := range w.ends {
		if w.places[n].Name == e.To {
			to = n
		}
	}
	lost := to < 0 || w.down[to]
	for n := range sent.Items {
		lost = lost || w.mute != nil && w.mute(k, to, &sent.Items[n])
	}
	if lost {
		back(nil)
		return
	}
	b, err := ReadBatch(data, w.now)
	require.NoError(w.t, err)
	for n := range b.Items {
		if it := &b.Items[n]; it.Op == OpRegister && it.Copy != nil {
			require.Equal(w.t, it.Sequence, it.Copy.Sequence, "a word does not bear the number of a later one")
		}
	}
	for _, f := range w.step(to, &Event{Kind: BatchReceived, Batch: b, Token: 1}) {
		lost := w.deaf && f.Kind == ReplyBatch && slices.ContainsFunc(f.Batch.Items, func(it Item) bool { return it.Op == OpStored })
		if f.Kind == ReplyBatch && !lost {
			answer, err := ReadBatch(f.Batch.Append(nil, w.now), w.now)
			require.NoError(w.t, err)
			back(answer)
		}
	}
}

// arrive has a search come in at a member.
func (w *world) arrive(k int, offering, id, mark string) []Effect {
	return w.step(k, &Event{Kind: RequestArriving, ID: id, Copy: &Copy{RequestData: RequestData{ID: id, IdempotencyKey: mark, Class: offering, Body: []byte("select")}, Deadline: w.now + 5000}})
}

// said gives what a member was told to do of a kind with a search, so far.
func (w *world) said(k int, kind EffectKind, id string) (list []Effect) {
	for _, e := range w.got[k][kind] {
		if e.ID == id || e.Copy != nil && e.Copy.ID == id && kind == Adopt {
			list = append(list, e)
		}
	}
	return list
}

// shoot has a shot of a search made, and tells whether it leaves.
func (w *world) shoot(k int, id string) bool {
	w.step(k, &Event{Kind: AttemptStarting, ID: id, Zone: "here"})
	return len(w.said(k, ReleaseAttempt, id)) > 0
}

func (w *world) end(k int, id string, out Outcome, answer string) (keptBack bool) {
	for _, e := range w.step(k, &Event{Kind: RequestEnding, ID: id, Outcome: out, Answer: []byte(answer)}) {
		keptBack = keptBack || e.Kind == WithholdAnswer
	}
	w.step(k, &Event{Kind: RequestClosed, ID: id, Outcome: out, Answer: []byte(answer)})
	return keptBack
}

// balance checks that copies add up everywhere.
func (w *world) balance() {
	for k, e := range w.ends {
		c := e.Counts()
		require.Equal(w.t, c.CopiesReceived, c.Settled+c.Adopted+c.Failed+c.Dropped+c.Open, "n%d: %+v", k, c)
	}
}

// adopter gives who was told to adopt a search.
func (w *world) adopter(id string) (who []int) {
	for k := range w.ends {
		if len(w.said(k, Adopt, id)) > 0 {
			who = append(who, k)
		}
	}
	return who
}

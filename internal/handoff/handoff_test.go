package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/scheduler"
)

// A mark that another has in hand is not begun a second time, wherever it comes, and its answer is told to all who wait.
func TestThreeAreAskedForOneMark(t *testing.T) {
	w := newWorld(t, 5, 2, nil)
	w.arrive(0, "mark", "a", "m")
	require.Len(t, w.said(0, Resume, "a"), 1)
	w.arrive(1, "mark", "b", "m")
	w.arrive(2, "mark", "c", "m")
	w.arrive(0, "mark", "d", "m")
	w.tick(1000)
	for k, id := range map[int]string{1: "b", 2: "c", 0: "d"} {
		assert.Empty(t, append(w.said(k, Resume, id), w.said(k, AnswerSuspended, id)...), id)
	}
	assert.True(t, w.shoot(0, "a"))
	assert.False(t, w.end(0, "a", Succeeded, "rows"), "it is told at once")
	w.tick(1000)
	for k, id := range map[int]string{1: "b", 2: "c", 0: "d"} {
		require.Len(t, w.said(k, AnswerSuspended, id), 1, id)
		assert.Equal(t, []any{Succeeded, "rows"}, []any{w.said(k, AnswerSuspended, id)[0].Outcome, string(w.said(k, AnswerSuspended, id)[0].Answer)})
	}
	w.balance()
}

// A shot leaves once a quorum knows of it, not before, and not at all where there is none.
func TestShotsWaitForAQuorum(t *testing.T) {
	w := newWorld(t, 5, 2, nil)
	w.arrive(0, "mark", "a", "m")
	heard := map[int]bool{}
	w.mute = func(_, to int, it *Item) bool { return it.Op == OpAttempt && !heard[to] }
	assert.False(t, w.shoot(0, "a"), "one of five is none")
	heard[1] = true
	w.tick(200)
	assert.Empty(t, w.said(0, ReleaseAttempt, "a"), "two are none")
	heard[2] = true
	w.tick(100)
	assert.Len(t, w.said(0, ReleaseAttempt, "a"), 1)
	w.arrive(0, "mark", "b", "m2")
	w.mute = func(_, _ int, it *Item) bool { return it.Op == OpAttempt }
	assert.False(t, w.shoot(0, "b"))
	w.tick(500)
	assert.Len(t, w.said(0, FailAttempt, "b"), 1)
	w.step(0, &Event{Kind: AttemptEnded, ID: "b", NeverRan: true})
	w.mute = nil
	w.end(0, "b", Rejected, "")
	w.tick(1000)
	w.arrive(3, "mark", "c", "m2")
	require.Len(t, w.said(3, Resume, "c"), 1)
	assert.Zero(t, w.said(3, Resume, "c")[0].Prior, "no shot of it ever left")
}

// What a lost one had in hand goes to one heir, with what may have run of it.
func TestAnHeirGoesOn(t *testing.T) {
	for _, c := range []struct {
		offering, mark string
		sent           bool
		out            Outcome // of what is ended at once; Open: it is adopted
		doubt          bool
	}{
		{"mark", "m", false, Open, false},
		{"mark", "m", true, Open, true},
		{"once", "", false, Open, false},
		{"once", "", true, Open, true},
	} {
		w := newWorld(t, 6, 2, nil)
		w.arrive(0, c.offering, "a", c.mark)
		require.Len(t, w.said(0, Resume, "a"), 1)
		if c.sent {
			require.True(t, w.shoot(0, "a"))
		}
		w.lose(0)
		w.tick(1500)
		heirs := w.adopter("a")
		require.Len(t, heirs, 1, "%+v", c)
		f := w.said(heirs[0], Adopt, "a")
		require.Len(t, f, 1)
		assert.Equal(t, c.doubt, f[0].Prior.At != 0)
		assert.Equal(t, "select", string(f[0].Copy.Body))
		if c.doubt {
			assert.Equal(t, "here", f[0].Prior.Zone)
		}
		w.end(heirs[0], "a", Succeeded, "rows")
		w.tick(1000)
		if c.mark != "" {
			w.arrive(5, c.offering, "b", c.mark)
			w.tick(500)
			require.Len(t, w.said(5, AnswerSuspended, "b"), 1)
			assert.Equal(t, Succeeded, w.said(5, AnswerSuspended, "b")[0].Outcome)
		}
		w.balance()
		for k := 1; k < 6; k++ {
			assert.Empty(t, w.ends[k].OrphanedRequests())
		}
		assert.Empty(t, w.table.Claims, "the claim is given back")
	}
}

// The heir is lost, too, before or after it has begun: the next one goes on, and only that one.
func TestTheHeirIsLostToo(t *testing.T) {
	for _, begun := range []bool{false, true} {
		w := newWorld(t, 7, 2, nil)
		w.arrive(0, "mark", "a", "m")
		w.lose(0)
		first := -1
		if begun {
			w.tick(1500)
			require.Len(t, w.adopter("a"), 1)
			first = w.adopter("a")[0]
			require.True(t, w.shoot(first, "a"))
		} else { // it claims, and is lost before it hears that it may
			require.NotEmpty(t, w.moves)
			for k := range w.ends {
				if w.places[k].Name == w.moves[0].Claim.Successor {
					first = k
				}
			}
			w.down[first] = true
			w.agree()
			require.NotEmpty(t, w.table.Claims)
		}
		w.got[first] = map[EffectKind][]Effect{}
		w.lose(first)
		w.tick(3000)
		heirs := w.adopter("a")
		require.Len(t, heirs, 1)
		f := w.said(heirs[0], Adopt, "a")
		require.Len(t, f, 1)
		assert.Equal(t, begun, f[0].Prior.At != 0, "what the first heir sent is known to the second")
		w.balance()
	}
}

// One that is held for lost wakes up: it sends nothing, and what it heard meanwhile goes to its client only if nobody ended it.
func TestALostOneWakesUp(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		w := newWorld(t, 6, 2, func(s *Settings) { s.AdoptAtOnce = 1000 })
		w.arrive(0, "mark", "a", "m")
		w.arrive(0, "mark", "unsent", "m2")
		require.True(t, w.shoot(0, "a"))
		w.lose(0)
		if adopted {
			w.tick(1500)
			require.Len(t, w.adopter("a"), 1)
		}
		w.down[0] = false
		w.step(0, &Event{Kind: IncarnationChanged, Incarnation: 2})
		table := w.table.Clone()
		w.step(0, &Event{Kind: PlacementChanged, Members: w.places, Table: &table})
		assert.False(t, w.shoot(0, "unsent"))
		assert.Len(t, w.said(0, BlockAttempt, "unsent"), 1)
		assert.True(t, w.end(0, "a", Succeeded, "rows"), "it must be asked for first")
		if !adopted {
			require.Len(t, w.said(0, DeliverAnswer, "a"), 1)
			assert.Equal(t, Succeeded, w.said(0, DeliverAnswer, "a")[0].Outcome)
			w.tick(2000)
			assert.Empty(t, w.adopter("a"), "it has ended")
			continue
		}
		assert.Empty(t, w.said(0, DeliverAnswer, "a"))
		w.end(w.adopter("a")[0], "a", Succeeded, "other")
		w.tick(1500)
		require.Len(t, w.said(0, DeliverAnswer, "a"), 1)
		assert.Equal(t, "other", string(w.said(0, DeliverAnswer, "a")[0].Answer), "what was said first is said by all")
	}
}

// What was handled under a lease, and written off by an heir that could not know, is told as handled by all, whichever quorum is asked.
func TestALateWordCorrectsWhatWasWrittenOff(t *testing.T) {
	w := newWorld(t, 6, 2, nil)
	w.arrive(0, "once", "a", "")
	require.True(t, w.shoot(0, "a"))
	w.mute = func(from, to int, _ *Item) bool { return from == 0 || to == 0 }
	assert.False(t, w.end(0, "a", Succeeded, "rows"), "it holds its lease: its client is told")
	w.lose(0)
	w.tick(1500)
	heirs := w.adopter("a")
	require.Len(t, heirs, 1)
	w.end(heirs[0], "a", Failed, "")
	w.tick(500)
	w.down[0] = false
	heard := 0
	w.mute = func(from, _ int, it *Item) bool { // three of five hear of it
		if from == 0 && it.Op == OpClose {
			heard++
		}
		return from == 0 && it.Op == OpClose && heard > 3
	}
	w.step(0, &Event{Kind: IncarnationChanged, Incarnation: 2})
	table := w.table.Clone()
	w.step(0, &Event{Kind: PlacementChanged, Members: w.places, Table: &table})
	w.tick(500)
	for k := 1; k < 6; k++ {
		w.got[k][ReplyOutcome] = nil
		w.step(k, &Event{Kind: OutcomeQueried, ID: "a", Token: 3})
		w.tick(200)
		require.Len(t, w.got[k][ReplyOutcome], 1)
		assert.Equal(t, Succeeded, w.got[k][ReplyOutcome][0].Outcome, "asked at n%d", k)
	}
}

// A denial of what may not run twice waits until no heir can go on with it; what was only asked for is never sent by one.
func TestDenialsOfIrreversibleSearches(t *testing.T) {
	w := newWorld(t, 6, 2, nil)
	w.arrive(0, "once", "a", "")
	deaf := true
	w.mute = func(_, _ int, it *Item) bool { return deaf && it.Op == OpClose }
	assert.True(t, w.end(0, "a", Rejected, ""))
	assert.Empty(t, w.said(0, DeliverAnswer, "a"))
	deaf = false
	w.tick(200)
	require.Len(t, w.said(0, DeliverAnswer, "a"), 1)
	assert.Equal(t, Rejected, w.said(0, DeliverAnswer, "a")[0].Outcome)
	// One is registered by a quorum, and its owner never hears of that: it denies, and is lost.
	w.mute = func(_, _ int, it *Item) bool { return it.Op == OpAttempt || it.Op == OpWithdraw }
	w.arrive(0, "once", "b", "")
	w.ends[0].mine[KeyOf("", "b")].phase = finished
	w.mute = nil
	w.lose(0)
	w.tick(2000)
	assert.Empty(t, w.adopter("b"))
}

// Twenty thousand orphans at once: never more in hand than there is room for, the nearest hard limit first.
func TestManyOrphansArePaced(t *testing.T) {
	const n = 20_000
	w := newWorld(t, 5, 2, func(s *Settings) { s.AdoptAtOnce = 50 })
	for k := range n {
		w.step(0, &Event{Kind: RequestArriving, ID: fmt.Sprint(k), Copy: &Copy{RequestData: RequestData{ID: fmt.Sprint(k), IdempotencyKey: fmt.Sprint("m", k), Class: "mark"},
			Deadline: w.now + 60e3 + float64(k%1000)}})
	}
	w.lose(0)
	done, last := 0, make([]float64, 5)
	for range 3000 {
		w.tick(100)
		for k := 1; k < 5; k++ {
			list := w.got[k][Adopt]
			w.got[k] = map[EffectKind][]Effect{}
			require.LessOrEqual(t, w.ends[k].inHand, 50)
			for _, f := range list {
				assert.GreaterOrEqual(t, f.Copy.Deadline+1, last[k], "the nearest hard limit first")
				last[k] = max(last[k], f.Copy.Deadline)
				w.end(k, f.Copy.ID, Succeeded, "r")
				done++
			}
		}
		if done == n {
			break
		}
	}
	assert.Equal(t, n, done)
	w.balance()
	for k := 1; k < 5; k++ {
		assert.Equal(t, len("r")*n, w.ends[k].bytes, "works go with the end, short answers stay")
	}
}

// A redoable search is copied only if it takes long, and run again only within the ration.
func TestRedoableSearches(t *testing.T) {
	w := newWorld(t, 5, 2, func(s *Settings) { s.RetryBudget.Floor, s.RetryBudget.Share = 2, 0 })
	for k := range 6 {
		w.arrive(0, "look", fmt.Sprint("s", k), "")
	}
	w.step(0, &Event{Kind: RequestClosed, ID: "s0", Outcome: Succeeded})
	for k := 1; k < 5; k++ {
		assert.Zero(t, w.ends[k].Counts().CopiesStored, "nothing yet")
	}
	w.tick(200)
	w.lose(0)
	w.tick(2000)
	assert.Empty(t, w.adopter("s0"))
	again := 0
	for k := 1; k < 6; k++ {
		again += len(w.adopter(fmt.Sprint("s", k)))
	}
	assert.Positive(t, again)
	for k := 1; k < 5; k++ {
		assert.LessOrEqual(t, len(w.got[k][Adopt]), 2)
	}
	w.balance()
}

// A holder that is full takes nothing more; the others are enough. A holder that missed a word is told the whole.
func TestHoldersFullAndBehind(t *testing.T) {
	w := newWorld(t, 5, 2, nil)
	w.ends[3].most = 1
	w.mute = func(_, to int, it *Item) bool { return to == 4 && it.Op == OpRegister }
	for k := range 5 {
		id := fmt.Sprint(k)
		w.arrive(0, "mark", id, "m"+id)
		require.Len(t, w.said(0, Resume, id), 1, id)
	}
	assert.LessOrEqual(t, w.ends[3].Counts().CopiesStored, 3, "its own pointers besides")
	w.mute = nil
	require.True(t, w.shoot(0, "1"))
	w.tick(300)
	assert.Equal(t, MayHaveRun, w.ends[4].copies[KeyOf("m1", "1")].RunState)
	assert.True(t, w.ends[4].copies[KeyOf("m1", "1")].Complete)
}

// What is asked for by id or mark is told wherever it is asked; what nobody knows is said to be unknown.
func TestQuestions(t *testing.T) {
	w := newWorld(t, 6, 2, nil)
	w.arrive(0, "mark", "a", "m")
	asked := func(k int, id, mark string) Effect {
		w.got[k][ReplyOutcome] = nil
		w.step(k, &Event{Kind: OutcomeQueried, ID: id, IdempotencyKey: mark, Token: 7})
		w.tick(1000)
		require.Len(t, w.got[k][ReplyOutcome], 1)
		return w.got[k][ReplyOutcome][0]
	}
	assert.Equal(t, Open, asked(5, "", "m").Outcome)
	assert.Equal(t, "n0", asked(5, "a", "").Owner, "by its id, too")
	require.True(t, w.shoot(0, "a"))
	w.end(0, "a", Succeeded, "rows")
	for k := range 6 {
		f := asked(k, "a", "")
		assert.Equal(t, []any{Succeeded, "rows"}, []any{f.Outcome, string(f.Answer)})
		assert.Equal(t, Unknown, asked(k, "b", "").Outcome)
	}
}

// A mark that comes back after it ended in doubt goes on where it may be known as a repeat, and no longer than that.
func TestAMarkComesBack(t *testing.T) {
	w := newWorld(t, 5, 2, nil)
	w.arrive(0, "mark", "a", "m")
	require.True(t, w.shoot(0, "a"))
	w.end(0, "a", Failed, "")
	w.tick(500)
	w.arrive(2, "mark", "b", "m")
	require.Len(t, w.said(2, Resume, "b"), 1)
	assert.NotZero(t, w.said(2, Resume, "b")[0].Prior.At)
	w.end(2, "b", Failed, "")
	w.tick(19_000)
	w.arrive(3, "mark", "c", "m")
	require.Len(t, w.said(3, AnswerSuspended, "c"), 1)
	assert.Equal(t, Failed, w.said(3, AnswerSuspended, "c")[0].Outcome)
}

// Copies move to whoever takes the place of a lost one, and a mark is known there.
func TestCopiesMove(t *testing.T) {
	w := newWorld(t, 9, 2, nil)
	for k := range 300 {
		id := fmt.Sprint(k)
		w.arrive(0, "mark", id, "m"+id)
		require.True(t, w.shoot(0, id))
		w.end(0, id, Failed, "")
	}
	for _, k := range []int{3, 5, 7} {
		w.lose(k)
		w.tick(3000)
	}
	for _, p := range w.table.Partitions {
		assert.Nil(t, p.Previous, "all parts are settled")
	}
	for k := range 300 {
		id := fmt.Sprint("x", k)
		w.arrive(1, "mark", id, fmt.Sprint("m", k))
		f := w.said(1, Resume, id)
		require.Len(t, f, 1)
		require.NotZero(t, f[0].Prior.At)
	}
	w.balance()
}

// A part that has lost its chairs beyond a quorum denies until its marks are past, then begins anew.
func TestBeyondAQuorum(t *testing.T) {
	w := newWorld(t, 5, 2, nil)
	for k := range 3 {
		w.lose(k)
	}
	w.arrive(4, "mark", "a", "m")
	require.Len(t, w.said(4, AnswerSuspended, "a"), 1)
	assert.Equal(t, Rejected, w.said(4, AnswerSuspended, "a")[0].Outcome)
	for k := range 3 { // they come back, and know nothing
		w.down[k] = false
		w.places[k].Lost, w.places[k].Incarnation = false, 2
		settings := DefaultSettings()
		settings.Classes = []scheduler.RequestClass{{Name: "mark", Effect: scheduler.Keyed, DedupWindowMS: 20e3}}
		w.ends[k] = New(Member{w.places[k].Name, 2}, settings, 9)
	}
	w.table.Reassign(w.places, 0)
	w.seat()
	w.tick(15_000)
	w.arrive(4, "mark", "b", "m")
	assert.Len(t, w.said(4, AnswerSuspended, "b"), 1)
	w.tick(10_000)
	w.arrive(4, "mark", "c", "m")
	assert.Len(t, w.said(4, Resume, "c"), 1)
}

// What a holder reads from its disk proves what ran, and is no reason to send anything.
func TestCopiesFromADisk(t *testing.T) {
	w := newWorld(t, 5, 2, nil)
	c := Copy{RequestData: RequestData{ID: "a", IdempotencyKey: "m", Class: "mark"}, Owner: Member{"n9", 1}, Sequence: 3, RunState: MayHaveRun, FirstAttemptAt: w.now, Deadline: w.now + 5000, Complete: true}
	data := AppendCopy(nil, &c, w.now)
	for k := range w.ends {
		one, err := ReadCopy(data, w.now)
		require.NoError(t, err)
		w.step(k, &Event{Kind: CopyRestored, Copy: &one})
	}
	w.places = append(w.places, w.places[0])
	w.places[5].Name, w.places[5].Lost = "n9", true
	w.table.Reassign(w.places, 0)
	w.seat()
	w.tick(2000)
	assert.Empty(t, w.adopter("a"))
	w.arrive(1, "mark", "b", "m")
	w.tick(500)
	require.Len(t, w.said(1, AnswerSuspended, "b"), 1)
	assert.Equal(t, Failed, w.said(1, AnswerSuspended, "b")[0].Outcome)
}

// An operator gives a search up: it is written off, and whoever asks is told so.
func TestGivenUp(t *testing.T) {
	w := newWorld(t, 5, 2, func(s *Settings) { s.AdoptAtOnce = 0 })
	w.arrive(0, "mark", "a", "m")
	w.lose(0)
	w.tick(1000)
	for k := 1; k < 5; k++ {
		w.step(k, &Event{Kind: ReleaseRequested, ID: "a"})
	}
	w.got[2][ReplyOutcome] = nil
	w.step(2, &Event{Kind: OutcomeQueried, IdempotencyKey: "m", Token: 1})
	w.tick(900)
	assert.Equal(t, Failed, w.got[2][ReplyOutcome][0].Outcome)
	w.balance()
}

func TestTable(t *testing.T) {
	for s := held; s < stateEnd; s++ {
		for in := loses; in <= returns; in++ {
			n := 0
			for _, r := range table {
				if r.state == s && r.input == in {
					n++
				}
			}
			assert.LessOrEqual(t, n, 1, "%s, input %d", stateNames[s], in)
		}
	}
}

// Batches that are cut or spoilt are refused, or read as something; none ends the process.
func TestBatchesCutAndSpoilt(t *testing.T) {
	b := &Batch{From: Member{"n1", 7}, Version: 3, PlacementStep: 9, Items: []Item{{Op: OpRegister, Key: KeyOf("m", ""), Sequence: 2, Copy: &Copy{
		RequestData: RequestData{ID: "a", IdempotencyKey: "m", Class: "mark", TableGroup: 5, MemoryMB: 1.5, Body: []byte("select")}, FirstAttemptAt: 900, Deadline: 4000, Cell: -3, Complete: true, Confirmed: true}},
		{Op: OpClose, Outcome: Succeeded, Answer: []byte{}, From: Member{"n2", 1}}, {Op: OpPage, Partition: 4, More: true, Copies: []Copy{{Idempotent: true, Deadline: 1}}}}}
	data := b.Append(nil, 1000)
	whole, err := ReadBatch(data, 1000)
	require.NoError(t, err)
	got := whole.Items[0].Copy
	assert.Equal(t, []any{"a", 5.0 - 5, int64(-3), 4000.0, true}, []any{got.ID, float64(got.TableGroup) - 5, got.Cell, got.Deadline, got.Confirmed})
	assert.LessOrEqual(t, got.FirstAttemptAt, 900.0, "never younger than it is")
	assert.NotNil(t, whole.Items[1].Answer)
	assert.Nil(t, whole.Items[0].Answer)
	for n := range data {
		_, _ = ReadBatch(data[:n], 1000)
		spoilt := append([]byte(nil), data...)
		spoilt[n] ^= 0x41
		if read, err := ReadBatch(spoilt, 1000); err == nil {
			w := New(Member{"n0", 1}, DefaultSettings(), 1)
			w.Step(1000, &Event{Kind: BatchReceived, Batch: read})
		}
	}
}

func FuzzBatch(f *testing.F) {
	f.Add((&Batch{From: Member{"n1", 7}, Items: []Item{{Op: OpFetch, Partition: 3}}}).Append(nil, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		if b, err := ReadBatch(data, 1000); err == nil {
			w := newWorld(t, 5, 1, nil)
			b.Version, b.PlacementStep, b.From = w.table.Version, 0, Member{"n1", 1}
			w.step(0, &Event{Kind: BatchReceived, Batch: b})
			w.tick(300)
		}
	})
}

// A search that could not be registered is denied; chairs that could not hear that it is taken back, for want of a lease or as they are
// still learning, hear of it later: whoever comes again with its mark is not held up by one that nobody has.
func TestWhatIsTakenBackIsTakenBackEverywhere(t *testing.T) {
	w := newWorld(t, 6, 2, nil)
	w.mute = func(_, to int, it *Item) bool { return to != 1 && it.Op == OpRegister || it.Op == OpWithdraw } // no quorum, and nobody hears
	w.arrive(0, "mark", "a", "m")
	w.tick(1500)
	require.Len(t, w.said(0, AnswerSuspended, "a"), 1)
	assert.Equal(t, Rejected, w.said(0, AnswerSuspended, "a")[0].Outcome)
	w.mute = nil
	w.tick(3000)
	for k := range w.ends {
		assert.Nil(t, w.ends[k].copies[KeyOf("m", "")], "n%d", k)
		assert.Empty(t, w.ends[k].back, "n%d", k)
		assert.Empty(t, w.ends[k].backBy, "n%d", k)
	}
	w.arrive(3, "mark", "b", "m")
	assert.Len(t, w.said(3, Resume, "b"), 1, "it goes on at once")
	w.balance()
}

// A life that does not know yet that it was declared lost says that a search of its was handled: its heir has written that off meanwhile.
// The word is not given up, and corrects it.
func TestALateWordOfOneThatDoesNotKnowThatItIsLost(t *testing.T) {
	w := newWorld(t, 6, 2, nil)
	w.arrive(0, "once", "a", "")
	require.True(t, w.shoot(0, "a"))
	w.mute = func(from, to int, _ *Item) bool { return from == 0 || to == 0 }
	assert.False(t, w.end(0, "a", Succeeded, "rows"), "its client is told")
	w.lose(0)
	w.tick(1500)
	heirs := w.adopter("a")
	require.Len(t, heirs, 1)
	w.end(heirs[0], "a", Failed, "")
	w.tick(500)
	w.down[0], w.mute = false, nil // it hears who sits where by now, and not yet that it goes on under another life
	table := w.table.Clone()
	w.step(0, &Event{Kind: PlacementChanged, Members: w.places, Table: &table})
	w.tick(2000)
	for k := 1; k < 6; k++ {
		if c := w.ends[k].copies[KeyOf("", "a")]; c != nil {
			assert.Equal(t, Succeeded, c.Outcome, "n%d", k)
		}
	}
}

// Whoever asks for a mark that may have run learns of that, however often it has to ask: the answers to its first asking are lost, and it
// does not sit there itself. It must not go on as if the mark were new.
func TestWhatMayHaveRunIsToldEachTime(t *testing.T) {
	w := newWorld(t, 6, 2, nil)
	played := 0
	for n := range 40 {
		mark := fmt.Sprint("m", n)
		part, owner, asker := KeyOf(mark, "").Partition(), -1, -1
		for k := range w.ends {
			if w.ends[k].sat(part) {
				owner = k
			} else {
				asker = k
			}
		}
		id := "a" + mark
		w.arrive(owner, "mark", id, mark)
		require.True(t, w.shoot(owner, id))
		w.end(owner, id, Failed, "")
		w.tick(300)
		w.deaf = true
		w.arrive(asker, "mark", "b"+mark, mark)
		w.tick(100)
		w.deaf = false
		w.tick(600)
		for _, f := range w.said(asker, Resume, "b"+mark) {
			played++
			assert.NotZero(t, f.Prior.At, "it goes on as if it were new")
		}
	}
	assert.NotZero(t, played)
}

package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var twoTeams = []Team{{Name: "model", Weight: 3}, {Name: "render", Weight: 1}, {Name: "other", Weight: 1}}

// TestTree_SharesByWeightWhenSaturated: saturated teams get work by their weights, whatever their requests' sizes and estimates.
func TestTree_SharesByWeightWhenSaturated(t *testing.T) {
	for _, c := range []struct {
		what              string
		estimate          float64 // of render, over the truth
		class             string
		modelOf, renderOf float64
	}{{"alike", 1, "look", 100, 100}, {"long against short", 1, "report", 50, 3000}, {"estimates ten times too low", 0.1, "report", 100, 2000},
		{"estimates ten times too high", 10, "report", 100, 2000}, {"no estimates", 0, "report", 100, 2000}} {
		t.Run(c.what, func(t *testing.T) {
			w := newSimulation(t, 16, twoTeams, 0)
			both := func() {
				w.saturate("model", "look", 20, c.modelOf, c.modelOf)
				w.saturate("render", c.class, 20, c.renderOf, c.estimate*c.renderOf)
			}
			w.advance(11000, both) // until it is known what their searches take
			w.done = map[string]float64{}
			w.advance(71000, both)
			assert.InDelta(t, 0.75, w.share("model"), 0.05*0.75, c.what)
		})
	}
}

// TestTree_LendsIdleShareAndTakesItBack: an idle team's share is lent. When it comes back it has no credit, gets its share at once and starves
// nobody.
func TestTree_LendsIdleShareAndTakesItBack(t *testing.T) {
	w := newSimulation(t, 16, twoTeams, 0)
	w.advance(61000, func() { w.saturate("render", "look", 20, 100, 100) })
	assert.InDelta(t, 16*60000, w.done["render"], 16*60000*0.05, "a team alone has all")
	w.done = map[string]float64{}
	w.advance(63000, func() { w.saturate("model", "look", 20, 100, 100); w.saturate("render", "look", 20, 100, 100) })
	assert.InDelta(t, 0.75, w.share("model"), 0.08, "taken back within two seconds, and no more than that")
	w.done = map[string]float64{}
	w.advance(80000, func() { w.saturate("model", "look", 20, 100, 100); w.saturate("render", "look", 20, 100, 100) })
	assert.InDelta(t, 0.75, w.share("model"), 0.02)
}

// TestTree_KeepsGuaranteesAndCeilings: also for teams under teams, and where nobody else wants anything.
func TestTree_KeepsGuaranteesAndCeilings(t *testing.T) {
	w := newSimulation(t, 20, []Team{{Name: "a", Weight: 1, GuaranteedShare: 0.5}, {Name: "b", Weight: 9}, {Name: "b1", Parent: "b", Weight: 1},
		{Name: "b2", Parent: "b", Weight: 2, Ceiling: 0.1, BurstMS: 100}, {Name: "other"}}, 0)
	w.advance(61000, func() {
		for _, team := range []string{"a", "b1", "b2"} {
			w.saturate(team, "look", 20, 100, 100)
		}
	})
	assert.InDelta(t, 0.1, w.share("b2"), 0.01, "its ceiling")
	assert.Greater(t, w.share("a"), 0.5)
	w.done = map[string]float64{}
	w.advance(121000, func() { w.saturate("b2", "look", 20, 100, 100) })
	assert.InDelta(t, 0.1*20*60000, w.done["b2"], 0.1*20*60000*0.1, "also where nobody else wants anything")
}

// TestTree_KeepsTeamLimits: no team passes its requests in flight, threads, memory or queue.
func TestTree_KeepsTeamLimits(t *testing.T) {
	w := newSimulation(t, 100, []Team{{Name: "s", MaxInFlight: 3}, {Name: "t", Threads: 5}, {Name: "m", MemoryMB: 40}, {Name: "q", MaxQueued: 2, MaxInFlight: 1},
		{Name: "other"}}, 0)
	w.advance(3000, func() {
		for _, team := range []string{"s", "t", "m"} {
			w.saturate(team, "look", 20, 500, 500)
		}
		for _, st := range w.Statuses() {
			require.LessOrEqual(t, st.InFlight, map[string]int{"s": 3, "t": 5, "m": 4, "q": 1}[st.Team.Name])
		}
	})
	assert.Greater(t, w.done["s"], 0.9*3*1500)
	for range 5 {
		w.submit("q", "look", 500, 500, w.now+1e5)
	}
	assert.EqualValues(t, 2, w.Counts().Overflow, "one is in flight, two wait, and the scheduler rejects the others")
}

// TestTree_AgeingBoundsTheLongestWait: no request waits past Bound, however small its team's weight.
func TestTree_AgeingBoundsTheLongestWait(t *testing.T) {
	w := newSimulation(t, 8, []Team{{Name: "big", Weight: 1000}, {Name: "tiny", Weight: 0.001}, {Name: "other"}}, 2000.0)
	bound := 0.0
	w.advance(60000, func() {
		w.saturate("big", "look", 40, 100, 100)
		w.saturate("tiny", "look", 3, 100, 100)
		bound = max(bound, w.MaxWaitMS())
	})
	assert.Greater(t, len(w.waits["tiny"]), 20)
	assert.LessOrEqual(t, longest(w.waits["tiny"]), bound)
	assert.LessOrEqual(t, longest(w.waits["big"]), bound)
	assert.Greater(t, w.share("big"), 0.7, "ageing makes no line of first come, first served")
}

// TestTree_ScarceExecutorsHoldUpNobody: requests that only some executors take wait for those; the others go on.
func TestTree_ScarceExecutorsHoldUpNobody(t *testing.T) {
	w := newSimulation(t, 16, twoTeams, 0)
	w.classThreads = map[string]float64{"report": 2, "look": 16, "load": 16}
	w.advance(31000, func() {
		w.saturate("render", "report", 50, 1000, 1000)
		w.saturate("model", "look", 20, 100, 100)
	})
	assert.Greater(t, w.done["model"]+w.done["render"], 0.95*16*30000)
	assert.Greater(t, w.done["render"], 0.9*2*30000)
}

// TestTree_ServesTenThousandTeams: each team has its turn, and nothing is kept of names that nobody configured.
func TestTree_ServesTenThousandTeams(t *testing.T) {
	teams := []Team{{Name: "other"}}
	for n := range 10_000 {
		teams = append(teams, Team{Name: fmt.Sprint("t", n)})
	}
	w := newSimulation(t, 50, teams, 1e9)
	for n := range 10_000 {
		w.submit(fmt.Sprint("t", n), "look", 10, 10, 1e6)
	}
	w.advance(6000, nil)
	assert.Len(t, w.done, 10_000, "each had its turn")
	assert.Zero(t, w.Counts().Queued)
	for n := range 10_000 {
		w.submit(fmt.Sprint("nobody", n), "look", 10, 10, 1e6)
	}
	assert.EqualValues(t, 10_000, w.Counts().Unknown)
	assert.Len(t, w.byName, 10_001, "nothing is kept of names that nobody configured")
}

// TestTree_OffersOverdueRequestsAtOnce: a request that can't be done in time any more is offered at that moment, whoever else waits.
func TestTree_OffersOverdueRequestsAtOnce(t *testing.T) {
	w := newSimulation(t, 1, twoTeams, 0)
	w.advance(2000, func() { w.saturate("model", "look", 30, 1000, 1000) })
	id := w.submit("render", "look", 300, 300, w.now+700)
	at := w.now
	for w.late["render"] == 0 && w.now < at+2000 {
		w.advance(w.now+10, nil)
	}
	assert.InDelta(t, at+700-300, w.now, 150)
	assert.Equal(t, none, w.slab.find(id))
	gone := w.submit("render", "look", 300, 300, w.now+10000)
	w.play(&Event{Kind: RequestClosed, ID: gone}) // its client left
	assert.Equal(t, none, w.slab.find(gone))
	w.play(&Event{Kind: ShutdownStarted})
	assert.Zero(t, w.Counts().Queued, "a stop leaves nothing waiting here")
	w.submit("render", "look", 300, 300, w.now+10000)
	assert.Zero(t, w.Counts().Queued)
}

// TestTree_CapsAndUncapsTeamsOverTheirShare: requests of a team over its share are capped while another is short, the latest first, and never one
// that holds its table group; then the caps are lifted. Changes are bounded.
func TestTree_CapsAndUncapsTeamsOverTheirShare(t *testing.T) {
	w := newSimulation(t, 16, []Team{{Name: "model"}, {Name: "render"}, {Name: "other", Weight: 0.001}}, 0)
	var ids []string
	for n := range 7 {
		ids = append(ids, w.submit("render", []string{"report", "load"}[n%2], 20000, 20000, 1e6))
	}
	w.advance(3000, nil)
	assert.Empty(t, w.caps, "nobody else wants anything")
	w.advance(4000, func() { w.saturate("model", "look", 10, 2000, 2000) })
	n := 0
	for k, id := range ids {
		if w.caps[id] > 0 {
			n++
			assert.Zero(t, k%2, "no load")
		}
	}
	assert.Equal(t, 3, n, "14 threads with a fair share of 8: three reports make up for it")
	for _, id := range append([]string(nil), waitingIDs(w)...) {
		w.play(&Event{Kind: RequestClosed, ID: id})
	}
	w.offers = nil
	w.advance(8000, nil)
	for _, id := range ids {
		assert.Zero(t, w.caps[id], "uncapped")
	}
	assert.LessOrEqual(t, w.Counts().Capped+w.Counts().Uncapped, uint64(6))
	for _, st := range w.Statuses() {
		assert.Zero(t, st.Capped)
	}
}

// waitingIDs returns the requests that wait.
func waitingIDs(w *simulation) (ids []string) {
	for p := w.queue.first; p != none; p = w.slab.at(p).links[listAll].next {
		ids = append(ids, w.slab.at(p).id)
	}
	return ids
}

// TestTree_ChangesTeamsAtRunTime: new limits hold at once, and ones that can't hold change nothing.
func TestTree_ChangesTeamsAtRunTime(t *testing.T) {
	w := newSimulation(t, 16, twoTeams, 0)
	both := func() { w.saturate("model", "look", 20, 100, 100); w.saturate("render", "look", 20, 100, 100) }
	w.advance(11000, both)
	w.play(&Event{Kind: TeamChanged, NewLimits: Team{Name: "model", Weight: 1}})
	w.play(&Event{Kind: TeamChanged, NewLimits: Team{Name: "render", Weight: 1, GuaranteedShare: 7}}) // more than there is: left as it was
	w.done = map[string]float64{}
	w.advance(31000, both)
	assert.InDelta(t, 0.5, w.share("model"), 0.03)
	w.play(&Event{Kind: TeamChanged, NewLimits: Team{Name: "render", MaxInFlight: 1}})
	w.done = map[string]float64{}
	w.advance(41000, both)
	assert.Less(t, w.share("render"), 0.15)
}

// TestNew_RejectsInvalidTeams: unknown parents, cycles, names that stand twice, a missing default and too many guarantees.
func TestNew_RejectsInvalidTeams(t *testing.T) {
	for _, teams := range [][]Team{{{Name: "a", Parent: "b"}, {Name: "other"}}, {{Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}, {Name: "other"}},
		{{Name: "a"}, {Name: "a"}, {Name: "other"}}, {{Name: "a"}}, {{Name: "other"}, {Name: "a", Parent: "other"}},
		{{Name: "a", GuaranteedShare: 0.6}, {Name: "b", GuaranteedShare: 0.6}, {Name: "other"}}} {
		_, err := New(teams, "other", testSettings(0))
		assert.Error(t, err)
	}
}

// TestTree_ExplainsWaits: the reason and the queue ahead are named.
func TestTree_ExplainsWaits(t *testing.T) {
	w := newSimulation(t, 1, []Team{{Name: "s", MaxInFlight: 1}, {Name: "model"}, {Name: "other"}}, 0)
	w.submit("s", "look", 1000, 1000, 1e6)
	id := w.submit("s", "look", 1000, 1000, 1e6)
	assert.Contains(t, w.Explain(id), "the limit of requests in flight of s")
	for range 10 {
		id = w.submit("model", "look", 100, 100, 1e6)
	}
	assert.Contains(t, w.Explain(id), "no executor has room for more")
	assert.Contains(t, w.Explain(id), "of model are ahead of it")
	assert.Empty(t, w.Explain("nobody"))
}

// TestTree_CountsAddUpAfterAnySequence: the counts of the tree are those of its requests, and nothing is left behind.
func TestTree_CountsAddUpAfterAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, 6, []Team{{Name: "p", Ceiling: 0.9}, {Name: "a", Parent: "p", MaxInFlight: 3}, {Name: "b", Parent: "p", Threads: 4},
			{Name: "other", MemoryMB: 30}}, 300.0)
		var ids []string
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				w.advance(w.now+rapid.Float64Range(10, 900).Draw(t, "gap"), nil)
			case 1:
				if len(ids) > 0 { // its client leaves, in whatever state
					id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "who")]
					for k := range w.offers {
						if w.offers[k].id == id {
							w.offers = append(w.offers[:k], w.offers[k+1:]...)
							break
						}
					}
					for k := range w.runs {
						if w.runs[k].id == id {
							w.threads += threadsOf[w.requests[id].class]
							w.runs = append(w.runs[:k], w.runs[k+1:]...)
							w.play(&Event{Kind: AttemptEnded, ID: id})
							break
						}
					}
					w.play(&Event{Kind: RequestClosed, ID: id})
				}
			default:
				ids = append(ids, w.submit(rapid.SampledFrom([]string{"a", "b", "other", "x"}).Draw(t, "team"),
					rapid.SampledFrom([]string{"look", "report", "load"}).Draw(t, "offering"), rapid.Float64Range(1, 900).Draw(t, "work"),
					rapid.Float64Range(0, 900).Draw(t, "estimate"), w.now+rapid.Float64Range(1, 3000).Draw(t, "until")))
			}
			inFlight, queuedNow, threads := 0, 0, 0.0
			for _, p := range w.slab.byID {
				s := w.slab.at(p)
				if s.state == queued {
					queuedNow++
				} else {
					inFlight++
					threads += w.classes[s.class].threads
				}
			}
			assert.Equal(t, queuedNow, w.Counts().Queued)
			sumInFlight, sumThreads := 0, 0.0
			for _, st := range w.Statuses() {
				if st.Team.Parent == "" {
					sumInFlight, sumThreads = sumInFlight+st.InFlight, sumThreads+st.Threads
				}
			}
			assert.Equal(t, inFlight, sumInFlight)
			assert.InDelta(t, threads, sumThreads, 1e-6)
			counted := 0
			for p := w.offered.first; p != none; p = w.slab.at(p).links[listOffered].next {
				counted += zeroOrOne(w.slab.at(p).takesSlot)
			}
			assert.Equal(t, schedulerSlots, w.freeSlots+counted)
		}
		w.advance(w.now+20000, nil)
		assert.Zero(t, w.Counts().Queued)
		assert.Empty(t, w.slab.byID)
		assert.Equal(t, empty, w.Tree.running)
	})
}

func zeroOrOne(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestTree_AllocatesNothing: the ordinary path of a request allocates nothing.
func TestTree_AllocatesNothing(t *testing.T) {
	tree, err := New(twoTeams, "other", testSettings(0))
	require.NoError(t, err)
	ids := make([]string, 64)
	for k := range ids {
		ids[k] = fmt.Sprint("s", k)
	}
	now, n := 1000.0, 0
	one := func() {
		now++
		id := ids[n%64]
		n++
		tree.Step(now, &Event{Kind: RequestQueued, ID: id, Team: twoTeams[n%2].Name, Class: "look", WorkMS: 10, Deadline: now + 50})
		tree.Step(now, &Event{Kind: AttemptStarted, ID: id})
		tree.Step(now+1, &Event{Kind: AttemptEnded, ID: id})
		tree.Step(now+1, &Event{Kind: RequestClosed, ID: id})
		if n%100 == 0 {
			tree.Step(now, &Event{Kind: Ticked})
		}
	}
	for range 1000 {
		one()
	}
	assert.Zero(t, testing.AllocsPerRun(1000, one))
}

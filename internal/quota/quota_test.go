package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var twoTeams = []Team{{Name: "model", Weight: 3}, {Name: "render", Weight: 1}, {Name: "other", Weight: 1}}

// TestTree_SharesByWeightWhenSaturated checks that saturated teams get work in proportion to their weights, whatever
// the sizes and the estimates of their requests.
func TestTree_SharesByWeightWhenSaturated(t *testing.T) {
	for _, c := range []struct {
		name                  string
		estimateFactor        float64 // estimate over actual work of the requests of render
		renderClass           string
		modelWork, renderWork float64
	}{
		{"alike", 1, "look", 100, 100},
		{"long against short", 1, "report", 50, 3000},
		{"estimates ten times too low", 0.1, "report", 100, 2000},
		{"estimates ten times too high", 10, "report", 100, 2000},
		{"no estimates", 0, "report", 100, 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 16, twoTeams, 0)
			both := func() {
				sim.saturate("model", "look", 20, c.modelWork, c.modelWork)
				sim.saturate("render", c.renderClass, 20, c.renderWork, c.estimateFactor*c.renderWork)
			}
			sim.advance(11000, both) // until the cost ratios have settled
			sim.doneWork = map[string]float64{}
			sim.advance(71000, both)
			assert.InDelta(t, 0.75, sim.workShare("model"), 0.05*0.75, c.name)
		})
	}
}

// TestTree_LendsIdleShareAndTakesItBack checks that the share of an idle team is lent, and that the team gets its
// share, but no more, as soon as it comes back.
func TestTree_LendsIdleShareAndTakesItBack(t *testing.T) {
	sim := newSimulation(t, 16, twoTeams, 0)
	sim.advance(61000, func() { sim.saturate("render", "look", 20, 100, 100) })
	assert.InDelta(t, 16*60000, sim.doneWork["render"], 16*60000*0.05, "the only active team gets all threads")
	both := func() {
		sim.saturate("model", "look", 20, 100, 100)
		sim.saturate("render", "look", 20, 100, 100)
	}
	sim.doneWork = map[string]float64{}
	sim.advance(63000, both)
	assert.InDelta(t, 0.75, sim.workShare("model"), 0.08, "gets its share within two seconds, and no credit")
	sim.doneWork = map[string]float64{}
	sim.advance(80000, both)
	assert.InDelta(t, 0.75, sim.workShare("model"), 0.02)
}

// TestTree_KeepsGuaranteesAndCeilings checks guaranteed shares and ceilings, also of child teams and of a team that
// is alone.
func TestTree_KeepsGuaranteesAndCeilings(t *testing.T) {
	sim := newSimulation(t, 20, []Team{
		{Name: "a", Weight: 1, GuaranteedShare: 0.5},
		{Name: "b", Weight: 9},
		{Name: "b1", Parent: "b", Weight: 1},
		{Name: "b2", Parent: "b", Weight: 2, Ceiling: 0.1, BurstMS: 100},
		{Name: "other"},
	}, 0)
	sim.advance(61000, func() {
		for _, team := range []string{"a", "b1", "b2"} {
			sim.saturate(team, "look", 20, 100, 100)
		}
	})
	assert.InDelta(t, 0.1, sim.workShare("b2"), 0.01, "the ceiling of b2")
	assert.Greater(t, sim.workShare("a"), 0.5, "the guaranteed share of a")
	sim.doneWork = map[string]float64{}
	sim.advance(121000, func() { sim.saturate("b2", "look", 20, 100, 100) })
	assert.InDelta(t, 0.1*20*60000, sim.doneWork["b2"], 0.1*20*60000*0.1, "the ceiling of b2, which is alone")
}

// TestTree_KeepsTeamLimits checks the limits of requests in flight, threads, memory and queue length.
func TestTree_KeepsTeamLimits(t *testing.T) {
	sim := newSimulation(t, 100, []Team{
		{Name: "s", MaxInFlight: 3},
		{Name: "t", Threads: 5},
		{Name: "m", MemoryMB: 40},
		{Name: "q", MaxQueued: 2, MaxInFlight: 1},
		{Name: "other"},
	}, 0)
	sim.advance(3000, func() {
		for _, team := range []string{"s", "t", "m"} {
			sim.saturate(team, "look", 20, 500, 500)
		}
		for _, status := range sim.Statuses() {
			limit := map[string]int{"s": 3, "t": 5, "m": 4, "q": 1}[status.Team.Name]
			require.LessOrEqual(t, status.InFlight, limit, "requests in flight of team %s", status.Team.Name)
		}
	})
	assert.Greater(t, sim.doneWork["s"], 0.9*3*1500)
	for range 5 {
		sim.submit("q", "look", 500, 500, sim.now+1e5)
	}
	assert.EqualValues(t, 2, sim.Counts().Overflow, "one of five is in flight, two wait, and two exceed the queue")
}

// TestTree_AgeingBoundsTheLongestWait checks that no request waits longer than MaxWaitMS, however small its team's
// weight.
func TestTree_AgeingBoundsTheLongestWait(t *testing.T) {
	sim := newSimulation(t, 8, []Team{
		{Name: "big", Weight: 1000},
		{Name: "tiny", Weight: 0.001},
		{Name: "other"},
	}, 2000.0)
	bound := 0.0
	sim.advance(60000, func() {
		sim.saturate("big", "look", 40, 100, 100)
		sim.saturate("tiny", "look", 3, 100, 100)
		bound = max(bound, sim.MaxWaitMS())
	})
	assert.Greater(t, len(sim.waits["tiny"]), 20)
	assert.LessOrEqual(t, longest(sim.waits["tiny"]), bound)
	assert.LessOrEqual(t, longest(sim.waits["big"]), bound)
	assert.Greater(t, sim.workShare("big"), 0.7, "ageing must not turn the fair order into first come, first served")
}

// TestTree_ScarceExecutorsDoNotBlockOtherRequests checks that requests which only a few executors can run don't
// delay others.
func TestTree_ScarceExecutorsDoNotBlockOtherRequests(t *testing.T) {
	sim := newSimulation(t, 16, twoTeams, 0)
	sim.freeClassThreads = map[string]float64{"report": 2, "look": 16, "load": 16}
	sim.advance(31000, func() {
		sim.saturate("render", "report", 50, 1000, 1000)
		sim.saturate("model", "look", 20, 100, 100)
	})
	assert.Greater(t, sim.doneWork["model"]+sim.doneWork["render"], 0.95*16*30000)
	assert.Greater(t, sim.doneWork["render"], 0.9*2*30000)
}

// TestTree_ServesTenThousandTeams checks that every team is served, and that unknown team names leave no state
// behind.
func TestTree_ServesTenThousandTeams(t *testing.T) {
	teams := []Team{{Name: "other"}}
	for n := range 10_000 {
		teams = append(teams, Team{Name: fmt.Sprint("t", n)})
	}
	sim := newSimulation(t, 50, teams, 1e9)
	for n := range 10_000 {
		sim.submit(fmt.Sprint("t", n), "look", 10, 10, 1e6)
	}
	sim.advance(6000, nil)
	assert.Len(t, sim.doneWork, 10_000, "every team is served")
	assert.Zero(t, sim.Counts().Queued)
	for n := range 10_000 {
		sim.submit(fmt.Sprint("nobody", n), "look", 10, 10, 1e6)
	}
	assert.EqualValues(t, 10_000, sim.Counts().Unknown)
	assert.Len(t, sim.byName, 10_001, "unknown team names are not stored")
}

// TestTree_OffersOverdueRequestsAtOnce checks that a request is offered as soon as it can no longer meet its
// deadline, even while others wait, and that a shutdown leaves no request waiting.
func TestTree_OffersOverdueRequestsAtOnce(t *testing.T) {
	sim := newSimulation(t, 1, twoTeams, 0)
	sim.advance(2000, func() { sim.saturate("model", "look", 30, 1000, 1000) })
	id := sim.submit("render", "look", 300, 300, sim.now+700)
	submittedAt := sim.now
	for sim.late["render"] == 0 && sim.now < submittedAt+2000 {
		sim.advance(sim.now+10, nil)
	}
	assert.InDelta(t, submittedAt+700-300, sim.now, 150)
	assert.Equal(t, none, sim.slab.find(id))
	abandoned := sim.submit("render", "look", 300, 300, sim.now+10000)
	sim.step(&Event{Kind: RequestClosed, ID: abandoned}) // its client left
	assert.Equal(t, none, sim.slab.find(abandoned))
	sim.step(&Event{Kind: ShutdownStarted})
	assert.Zero(t, sim.Counts().Queued, "a shutdown offers all waiting requests")
	sim.submit("render", "look", 300, 300, sim.now+10000)
	assert.Zero(t, sim.Counts().Queued, "requests that arrive during a shutdown are not queued")
}

// TestTree_CapsAndUncapsTeamsOverTheirShare checks that requests of a team over its share are capped while another
// team is underserved, the latest first and none that holds its table group, and that the caps are lifted
// afterwards.
func TestTree_CapsAndUncapsTeamsOverTheirShare(t *testing.T) {
	sim := newSimulation(t, 16, []Team{{Name: "model"}, {Name: "render"}, {Name: "other", Weight: 0.001}}, 0)
	var ids []string
	for n := range 7 {
		ids = append(ids, sim.submit("render", []string{"report", "load"}[n%2], 20000, 20000, 1e6))
	}
	sim.advance(3000, nil)
	assert.Empty(t, sim.caps, "no cap while no other team is active")
	sim.advance(4000, func() { sim.saturate("model", "look", 10, 2000, 2000) })
	n := 0
	for k, id := range ids {
		if sim.caps[id] > 0 {
			n++
			assert.Zero(t, k%2, "request %s of class load holds its table group and must not be capped", id)
		}
	}
	assert.Equal(t, 3, n, "render uses 14 threads with a fair share of 8: capping three reports makes up for the excess")
	for _, id := range append([]string(nil), waitingIDs(sim)...) {
		sim.step(&Event{Kind: RequestClosed, ID: id})
	}
	sim.offers = nil
	sim.advance(8000, nil)
	for _, id := range ids {
		assert.Zero(t, sim.caps[id], "the cap of request %s is lifted", id)
	}
	assert.LessOrEqual(t, sim.Counts().Capped+sim.Counts().Uncapped, uint64(6))
	for _, status := range sim.Statuses() {
		assert.Zero(t, status.Capped, "capped requests of team %s", status.Team.Name)
	}
}

// waitingIDs returns the ids of the waiting requests.
func waitingIDs(sim *simulation) (ids []string) {
	for index := sim.waiting.first; index != none; index = sim.slab.at(index).links[listWaiting].next {
		ids = append(ids, sim.slab.at(index).id)
	}
	return ids
}

// TestTree_ChangesTeamsAtRunTime checks that new limits apply at once, and that invalid ones change nothing.
func TestTree_ChangesTeamsAtRunTime(t *testing.T) {
	sim := newSimulation(t, 16, twoTeams, 0)
	both := func() {
		sim.saturate("model", "look", 20, 100, 100)
		sim.saturate("render", "look", 20, 100, 100)
	}
	sim.advance(11000, both)
	sim.step(&Event{Kind: TeamChanged, NewLimits: Team{Name: "model", Weight: 1}})
	// Guaranteed shares above 1 are invalid, so the next change is ignored.
	sim.step(&Event{Kind: TeamChanged, NewLimits: Team{Name: "render", Weight: 1, GuaranteedShare: 7}})
	sim.doneWork = map[string]float64{}
	sim.advance(31000, both)
	assert.InDelta(t, 0.5, sim.workShare("model"), 0.03)
	sim.step(&Event{Kind: TeamChanged, NewLimits: Team{Name: "render", MaxInFlight: 1}})
	sim.doneWork = map[string]float64{}
	sim.advance(41000, both)
	assert.Less(t, sim.workShare("render"), 0.15)
}

// TestNew_RejectsInvalidTeams checks that New rejects teams that form no valid tree, and guaranteed shares above 1.
func TestNew_RejectsInvalidTeams(t *testing.T) {
	for _, c := range []struct {
		name  string
		teams []Team
	}{
		{"unknown parent", []Team{{Name: "a", Parent: "b"}, {Name: "other"}}},
		{"cycle", []Team{{Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}, {Name: "other"}}},
		{"duplicate name", []Team{{Name: "a"}, {Name: "a"}, {Name: "other"}}},
		{"no default team", []Team{{Name: "a"}}},
		{"default team with children", []Team{{Name: "other"}, {Name: "a", Parent: "other"}}},
		{"guaranteed shares above 1", []Team{
			{Name: "a", GuaranteedShare: 0.6}, {Name: "b", GuaranteedShare: 0.6}, {Name: "other"},
		}},
	} {
		_, err := New(c.teams, "other", testSettings(0))
		assert.Error(t, err, c.name)
	}
}

// TestTree_ExplainsWaits checks that Explain names the reason and the requests ahead.
func TestTree_ExplainsWaits(t *testing.T) {
	sim := newSimulation(t, 1, []Team{{Name: "s", MaxInFlight: 1}, {Name: "model"}, {Name: "other"}}, 0)
	sim.submit("s", "look", 1000, 1000, 1e6)
	id := sim.submit("s", "look", 1000, 1000, 1e6)
	assert.Contains(t, sim.Explain(id), "the limit of requests in flight of s")
	for range 10 {
		id = sim.submit("model", "look", 100, 100, 1e6)
	}
	assert.Contains(t, sim.Explain(id), "no executor has room for more")
	assert.Contains(t, sim.Explain(id), "of model are ahead of it")
	assert.Empty(t, sim.Explain("nobody"))
}

// TestTree_CountsAddUpAfterAnySequence checks that the counts of the tree agree with the states of its requests
// after every step, and that no request is left once time has passed.
func TestTree_CountsAddUpAfterAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 6, []Team{
			{Name: "p", Ceiling: 0.9},
			{Name: "a", Parent: "p", MaxInFlight: 3},
			{Name: "b", Parent: "p", Threads: 4},
			{Name: "other", MemoryMB: 30},
		}, 300.0)
		var ids []string
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				sim.advance(sim.now+rapid.Float64Range(10, 900).Draw(t, "gap"), nil)
			case 1:
				if len(ids) > 0 { // the client of a request in any state leaves
					id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "request")]
					for k := range sim.offers {
						if sim.offers[k].id == id {
							sim.offers = append(sim.offers[:k], sim.offers[k+1:]...)
							break
						}
					}
					for k := range sim.runs {
						if sim.runs[k].id == id {
							sim.freeThreads += threadsByClass[sim.requests[id].class]
							sim.runs = append(sim.runs[:k], sim.runs[k+1:]...)
							sim.step(&Event{Kind: AttemptEnded, ID: id})
							break
						}
					}
					sim.step(&Event{Kind: RequestClosed, ID: id})
				}
			default:
				ids = append(ids, sim.submit(
					rapid.SampledFrom([]string{"a", "b", "other", "x"}).Draw(t, "team"),
					rapid.SampledFrom([]string{"look", "report", "load"}).Draw(t, "class"),
					rapid.Float64Range(1, 900).Draw(t, "work"),
					rapid.Float64Range(0, 900).Draw(t, "estimate"),
					sim.now+rapid.Float64Range(1, 3000).Draw(t, "deadline"),
				))
			}
			inFlight, queuedNow, threads := 0, 0, 0.0
			for _, index := range sim.slab.byID {
				req := sim.slab.at(index)
				if req.state == queued {
					queuedNow++
				} else {
					inFlight++
					threads += sim.classes[req.class].threads
				}
			}
			assert.Equal(t, queuedNow, sim.Counts().Queued)
			sumInFlight, sumThreads := 0, 0.0
			for _, status := range sim.Statuses() {
				if status.Team.Parent == "" {
					sumInFlight, sumThreads = sumInFlight+status.InFlight, sumThreads+status.Threads
				}
			}
			assert.Equal(t, inFlight, sumInFlight)
			assert.InDelta(t, threads, sumThreads, 1e-6)
			slotsHeld := 0
			for index := sim.offered.first; index != none; index = sim.slab.at(index).links[listOffered].next {
				slotsHeld += zeroOrOne(sim.slab.at(index).holdsSlot)
			}
			assert.Equal(t, schedulerSlots, sim.freeSlots+slotsHeld)
		}
		sim.advance(sim.now+20000, nil)
		assert.Zero(t, sim.Counts().Queued)
		assert.Empty(t, sim.slab.byID)
		assert.Equal(t, emptyList, sim.Tree.running)
	})
}

func zeroOrOne(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestTree_AllocatesNothing checks that the common path of a request does not allocate.
func TestTree_AllocatesNothing(t *testing.T) {
	tree, err := New(twoTeams, "other", testSettings(0))
	require.NoError(t, err)
	ids := make([]string, 64)
	for k := range ids {
		ids[k] = fmt.Sprint("s", k)
	}
	now, n := 1000.0, 0
	serveOne := func() {
		now++
		id := ids[n%64]
		n++
		team := twoTeams[n%2].Name
		tree.Step(now, &Event{Kind: RequestQueued, ID: id, Team: team, Class: "look", WorkMS: 10, Deadline: now + 50})
		tree.Step(now, &Event{Kind: AttemptStarted, ID: id})
		tree.Step(now+1, &Event{Kind: AttemptEnded, ID: id})
		tree.Step(now+1, &Event{Kind: RequestClosed, ID: id})
		if n%100 == 0 {
			tree.Step(now, &Event{Kind: Ticked})
		}
	}
	for range 1000 {
		serveOne()
	}
	assert.Zero(t, testing.AllocsPerRun(1000, serveOne))
}

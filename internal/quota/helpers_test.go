package quota

import (
	"flag"
	"fmt"
	"math"

	"github.com/stretchr/testify/require"

	"liftshift/scheduler"
)

// testSettings returns settings with three request classes: look takes one thread, report and load take two, and
// load holds its table group. An ageMS of 0 is the default.
func testSettings(ageMS float64) Settings {
	s := DefaultSettings()
	if ageMS > 0 {
		s.AgeMS = ageMS
	}
	s.Classes = []scheduler.RequestClass{
		{Name: "look", Threads: 1},
		{Name: "report", Threads: 2},
		{Name: "load", Threads: 2, HoldsTableGroup: true},
	}
	return s
}

// simulation runs a tree with a simulated scheduler and executors. The scheduler sends offered requests in the order
// of their offers as threads become free, and holds the others back.
type simulation struct {
	*Tree
	t                require.TestingT
	now              float64
	freeThreads      float64
	freeClassThreads map[string]float64 // by class; nil: only freeThreads limits a class
	offers           []simOffer         // offered and not sent
	runs             []simRun
	doneWork         map[string]float64   // by team, in ms of one thread
	waits            map[string][]float64 // by team, from arrival to start
	late             map[string]int       // by team: requests rejected because they could not meet their deadline
	caps             map[string]int       // by request: 1 while its priority is capped, otherwise 0
	requests         map[string]simRequest
	count            int     // requests submitted
	slowdown         float64 // factor on the duration of every run
}

// simOffer is a request that waits at the simulated scheduler.
type simOffer struct {
	id        string
	immediate bool
}

// simRun is a request that runs on a simulated executor.
type simRun struct {
	id  string
	end float64
}

// simRequest is a request as it was submitted.
type simRequest struct {
	team, class string
	work, at    float64
	deadline    float64
}

func newSimulation(t require.TestingT, threads float64, teams []Team, ageMS float64) *simulation {
	tree, err := New(teams, "other", testSettings(ageMS))
	require.NoError(t, err)
	s := &simulation{
		Tree:        tree,
		t:           t,
		now:         1000,
		freeThreads: threads,
		doneWork:    map[string]float64{},
		waits:       map[string][]float64{},
		late:        map[string]int{},
		caps:        map[string]int{},
		requests:    map[string]simRequest{},
		slowdown:    1,
	}
	s.step(&Event{Kind: CapacityChanged, Cores: threads / threadsPerCore})
	return s
}

// threadsByClass are the threads of each class in testSettings.
var threadsByClass = map[string]float64{"look": 1, "report": 2, "load": 2}

// step passes an event to the tree and carries out its effects.
func (s *simulation) step(event *Event) {
	for _, effect := range s.Step(s.now, event) {
		switch effect.Kind {
		case Offer:
			s.offers = append(s.offers, simOffer{effect.ID, effect.Immediate})
		case CapPriority:
			s.caps[effect.ID]++
		case UncapPriority:
			s.caps[effect.ID]--
		}
	}
}

// submit queues a request of a team and returns its id. The estimate may differ from the actual work.
func (s *simulation) submit(team, class string, work, estimate, deadline float64) string {
	s.count++
	id := fmt.Sprint(team, "-", s.count)
	s.requests[id] = simRequest{team, class, work, s.now, deadline}
	s.step(&Event{
		Kind:     RequestQueued,
		ID:       id,
		Team:     team,
		Class:    class,
		WorkMS:   estimate,
		MemoryMB: 10,
		Deadline: deadline,
	})
	s.dispatch()
	return id
}

// dispatch sends the offered requests for which threads are free, and rejects those that can't meet their deadline.
func (s *simulation) dispatch() {
	for k := 0; k < len(s.offers); k++ {
		id := s.offers[k].id
		req := s.requests[id]
		need := threadsByClass[req.class]
		switch {
		case s.now+req.work/need > req.deadline:
			s.late[req.team]++
			s.offers = append(s.offers[:k], s.offers[k+1:]...)
			s.step(&Event{Kind: RequestClosed, ID: id})
			k = -1
		case s.freeThreads >= need && (s.freeClassThreads == nil || s.freeClassThreads[req.class] >= need):
			s.freeThreads -= need
			if s.freeClassThreads != nil {
				s.freeClassThreads[req.class] -= need
			}
			s.waits[req.team] = append(s.waits[req.team], s.now-req.at)
			s.runs = append(s.runs, simRun{id, s.now + req.work/need*s.slowdown})
			s.offers = append(s.offers[:k], s.offers[k+1:]...)
			s.step(&Event{Kind: AttemptStarted, ID: id})
			k = -1
		case s.offers[k].immediate:
			s.offers = append(s.offers[:k], s.offers[k+1:]...)
			s.step(&Event{Kind: RequestReturned, ID: id})
			k--
		}
	}
}

// advance runs the simulation until the given time in steps of 10 ms and calls arrivals, unless nil, in each step.
func (s *simulation) advance(until float64, arrivals func()) {
	for s.now < until {
		s.now += 10
		if arrivals != nil {
			arrivals()
		}
		for k := 0; k < len(s.runs); k++ {
			if run := s.runs[k]; run.end <= s.now {
				req := s.requests[run.id]
				s.doneWork[req.team] += req.work
				s.freeThreads += threadsByClass[req.class]
				if s.freeClassThreads != nil {
					s.freeClassThreads[req.class] += threadsByClass[req.class]
				}
				s.runs = append(s.runs[:k], s.runs[k+1:]...)
				s.step(&Event{Kind: AttemptEnded, ID: run.id})
				s.step(&Event{Kind: RequestClosed, ID: run.id})
				k--
			}
		}
		if math.Mod(s.now, 100) == 0 {
			s.step(&Event{Kind: Ticked})
		}
		s.dispatch()
	}
}

// saturate submits requests until n of the team are queued.
func (s *simulation) saturate(team, class string, n int, work, estimate float64) {
	for s.nodes[s.byName[team]].queued < n {
		s.submit(team, class, work, estimate, s.now+1e6)
	}
}

// workShare returns the team's fraction of the work done since doneWork was last cleared.
func (s *simulation) workShare(team string) float64 {
	total := 0.0
	for _, work := range s.doneWork {
		total += work
	}
	return s.doneWork[team] / total
}

func longest(waits []float64) (most float64) {
	for _, wait := range waits {
		most = max(most, wait)
	}
	return most
}

// Unless the command line overrides them, property tests use a fixed seed and write no failure files.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

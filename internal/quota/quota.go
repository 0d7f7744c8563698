// Package quota decides which request is offered to the scheduler next, where several teams share one installation. It keeps a tree of
// quotas with a fair queue in it; events and a time in ms go in, effects come out. It has no clock, no goroutine and no I/O. It chooses
// no executor, decides on no retry and rejects nothing: the scheduler does. What waits too long here is offered all the same, and
// the scheduler rejects it.
package quota

import "fmt"

const (
	threadsPerCore = 1.2  // that count as the whole: at that load the scheduler's routing calls an executor full
	overAbove      = 1.1  // times its fair share past which a team is over it
	meanWeight     = 0.1  // of the newest value in moving averages
	maxRatio       = 100  // by which an estimate is corrected at most
	agedShare      = 0.04 // of all work offered that may go to the requests that have waited longest, past the age
	maxAgedWorkMS  = 1e5  // of one thread, of that share, that are saved up at most
)

// requestClass is what the settings say of one request class.
type requestClass struct {
	name            string
	threads         float64
	holdsTableGroup bool // while it runs: its priority is never capped
	inOrder         bool // it keeps the order of its keys
	atScheduler     int  // requests that the scheduler has and has not sent
	trying          bool // one is offered to be sent at once
}

// Tree is the quotas of one installation, as one controller has them.
type Tree struct {
	now     float64
	effects []Effect

	ageMS       float64
	classes     []requestClass
	nodes       []node // 0 is the installation; parents stand before their children
	byName      map[string]int32
	defaultLeaf int32

	slab      slab
	queue     list // all that wait, oldest first
	offered   list // at the scheduler and not sent, oldest first
	running   list // all that have been sent, oldest first
	deadlines deadlineHeap

	freeSlots   int // at the scheduler
	atScheduler int // requests that wait there, stuck ones included
	advancing   int // those of them that have a slot and are not stuck

	totalThreads float64 // of the installation
	ownShare     float64 // of it that is this controller's
	ceilingShare float64 // of every ceiling that this controller may use: its own, less what it lends, with what it borrows
	agedWorkMS   float64 // that may go to the oldest
	backlogMS    float64 // work that waits
	lastArrivals [2]arrival
	shuttingDown bool
	throttled    []int32 // nodes at their ceiling

	shortAt      float64 // since when a team has been short; 0: none is
	calmAt       float64 // since when none has been
	anyCapped    bool
	lastChangeAt float64 // of a priority cap

	counts Counts
}

// arrival is the last request that arrived of a team.
type arrival struct {
	leaf int32
	at   float64
}

// New returns a tree. The team named by defaultTeam takes requests of unknown teams.
func New(teams []Team, defaultTeam string, settings Settings) (*Tree, error) {
	share := 1 / max(1, float64(settings.Controllers))
	t := &Tree{
		ageMS: settings.AgeMS, byName: map[string]int32{},
		queue: empty, offered: empty, running: empty, freeSlots: schedulerSlots,
		totalThreads: threadsPerCore, ownShare: share, ceilingShare: share,
	}
	for _, c := range settings.Classes {
		t.classes = append(t.classes, requestClass{name: c.Name, threads: float64(max(1, c.Threads)), holdsTableGroup: c.HoldsTableGroup, inOrder: c.InOrder})
	}
	t.nodes = append(t.nodes, node{parent: -1, share: 1})
	if err := t.addTeams(teams); err != nil {
		return nil, err
	}
	for i := range t.nodes {
		n := &t.nodes[i]
		n.init(len(t.classes))
		if n.parent >= 0 {
			t.nodes[n.parent].children = append(t.nodes[n.parent].children, int32(i))
		}
	}
	leaf, ok := t.byName[defaultTeam]
	if !ok || len(t.nodes[leaf].children) > 0 {
		return nil, fmt.Errorf("the default team %q is not there, or has teams under it", defaultTeam)
	}
	t.defaultLeaf = leaf
	if err := t.computeShares(); err != nil {
		return nil, err
	}
	return t, nil
}

// addTeams adds nodes, each after its parent.
func (t *Tree) addTeams(teams []Team) error {
	for pending := teams; len(pending) > 0; {
		var later []Team
		for _, team := range pending {
			parent, ok := int32(0), true
			if team.Parent != "" {
				parent, ok = t.byName[team.Parent]
			}
			if !ok {
				later = append(later, team)
				continue
			}
			if _, twice := t.byName[team.Name]; twice || team.Name == "" {
				return fmt.Errorf("team %q stands there twice, or has no name", team.Name)
			}
			t.byName[team.Name] = int32(len(t.nodes))
			t.nodes = append(t.nodes, node{team: team, parent: parent, index: int32(len(t.nodes))})
		}
		if len(later) == len(pending) {
			return fmt.Errorf("team %q is under %q, which is not there or stands under it", later[0].Name, later[0].Parent)
		}
		pending = later
	}
	return nil
}

// computeShares computes the nodes' shares: what is guaranteed, and of the rest by weight. Shares of siblings add up to one.
func (t *Tree) computeShares() error {
	for i := range t.nodes {
		guaranteed, weights := 0.0, 0.0
		for _, c := range t.nodes[i].children {
			guaranteed += t.nodes[c].team.GuaranteedShare
			weights += t.nodes[c].weight()
		}
		if guaranteed > 1+1e-9 {
			return fmt.Errorf("what is guaranteed under %q adds up to %g", t.nodes[i].team.Name, guaranteed)
		}
		for _, c := range t.nodes[i].children {
			n := &t.nodes[c]
			n.share = max(1e-6, n.team.GuaranteedShare+(1-guaranteed)*n.weight()/weights)
		}
	}
	for i := 1; i < len(t.nodes); i++ {
		t.nodes[i].totalShare = t.nodes[i].share
		if p := t.nodes[i].parent; p > 0 {
			t.nodes[i].totalShare *= t.nodes[p].totalShare
		}
	}
	return nil
}

// Step takes one event. The effects are valid until the next call.
func (t *Tree) Step(now float64, ev *Event) []Effect {
	t.now, t.effects = max(t.now, now), t.effects[:0]
	switch ev.Kind {
	case RequestQueued:
		t.enqueue(ev)
	case AttemptStarted:
		t.attemptStarted(ev)
	case AttemptEnded:
		t.attemptEnded(ev)
	case RequestClosed:
		t.closeRequest(ev)
	case CapacityChanged:
		t.totalThreads = threadsPerCore * max(1, ev.Cores)
	case Ticked:
		t.tick()
	case ShutdownStarted:
		t.shuttingDown = true
		for t.queue.first != none {
			t.offer(t.queue.first, false)
		}
	case RequestReturned:
		if p := t.slab.find(ev.ID); p != none {
			r := t.slab.at(p)
			t.classes[r.class].trying, r.trying = false, false
			return t.effects // no slot has become free by it
		}
	case TeamChanged:
		t.changeTeam(ev.NewLimits)
	}
	t.offerNext()
	return t.effects
}

func (t *Tree) emit(e Effect) { t.effects = append(t.effects, e) }

// tick offers what can wait no longer, charges what runs, opens ceilings that have refilled, and caps priorities.
func (t *Tree) tick() {
	t.offerOverdue()
	for p := t.running.first; p != none; p = t.slab.at(p).links[listRunning].next {
		t.countUse(t.slab.at(p))
	}
	still := t.throttled[:0]
	for _, i := range t.throttled {
		t.nodes[i].refill(t)
		if t.nodes[i].tokens > 0 {
			t.nodes[i].throttled = false
			t.updateBlocked(i)
		} else {
			still = append(still, i)
		}
	}
	t.throttled = still
	t.adjustCaps()
}

// changeTeam gives a team other limits; its place in the tree stays. Limits that can't hold are not taken.
func (t *Tree) changeTeam(team Team) {
	i, ok := t.byName[team.Name]
	if !ok {
		return
	}
	n := &t.nodes[i]
	before := n.team
	team.Parent = before.Parent
	n.team = team
	if t.computeShares() != nil {
		n.team = before
		_ = t.computeShares()
	}
	t.updateBlocked(i)
}

// SetCeilingShare sets the share of every ceiling that this controller may use, from 0 to 1.
func (t *Tree) SetCeilingShare(share float64) { t.ceilingShare = min(1, max(0, share)) }

// fairThreads is a node's share of the threads that this controller has.
func (t *Tree) fairThreads(n *node) float64 { return n.totalShare * t.totalThreads * t.ownShare }

// overShare tells whether a team uses more threads than its fair share.
func (t *Tree) overShare(leaf int32) bool {
	n := &t.nodes[leaf]
	return n.threads > overAbove*t.fairThreads(n)
}

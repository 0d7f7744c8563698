// Package quota decides which request is offered to the scheduler next when several teams share one installation. It
// is a hierarchical fair queue with guaranteed shares, ceilings and limits per team. Events and a time in ms go in,
// effects come out; the package has no clock, goroutines or I/O. It chooses no executor, retries nothing and rejects
// nothing: that is the scheduler's part. A request that can wait no longer is offered regardless of the fair order,
// and the scheduler rejects it.
package quota

import "fmt"

const (
	// threadsPerCore gives the threads of the whole installation. At this load the scheduler treats an executor as
	// full.
	threadsPerCore  = 1.2
	overShareFactor = 1.1  // a team above this multiple of its fair share is over it
	ratioSmoothing  = 0.1  // weight of the newest value in the moving averages of node.costRatios
	maxCostRatio    = 100  // largest factor by which an estimate is corrected
	agedWorkShare   = 0.04 // fraction of all offered work that may go to the requests past the age
	maxAgedCreditMS = 1e5  // largest Tree.agedCreditMS
)

// requestClass is the configuration and the state of one request class.
type requestClass struct {
	name             string
	threads          float64 // threads that a running request occupies
	holdsTableGroup  bool    // a request holds its table group while it runs; its priority is never capped
	inOrder          bool    // requests with the same order key run one after another
	atScheduler      int     // requests offered and not sent
	immediatePending bool    // an immediate offer of one of its requests has not been answered
}

// Tree is the quota tree of one controller. Its root is the installation, and every other node is a team. Requests
// wait in the queues of the leaves.
type Tree struct {
	now     float64
	effects []Effect

	ageMS       float64
	classes     []requestClass
	nodes       []node // node 0 is the installation; parents come before their children
	byName      map[string]int32
	defaultLeaf int32 // takes the requests of unknown teams

	slab      slab
	waiting   requestList // all requests in state queued
	offered   requestList // all requests in state offered
	running   requestList // all requests in state running
	deadlines deadlineHeap

	freeSlots   int // slots at the scheduler, of schedulerSlots
	atScheduler int // requests offered and not sent, including stuck ones
	activeSlots int // slots held by requests that are not stuck

	totalThreads float64 // of the installation
	ownShare     float64 // this controller's fraction of the installation
	ceilingShare float64 // fraction of every ceiling that this controller may use, with borrowed and without lent shares
	agedCreditMS float64 // work that may be offered to the oldest requests ahead of the fair order
	backlogMS    float64 // expected work of all waiting requests
	lastArrivals [2]arrival
	shuttingDown bool
	throttled    []int32 // nodes at their ceiling

	underservedSince float64 // time since which a team has been underserved; 0: none is
	satisfiedSince   float64 // time since which no team has been underserved; 0: a team is
	anyCapped        bool
	lastChangeAt     float64 // time of the last cap change, set back by up to changeBurstMS for unused change intervals

	counts Counts
}

// arrival is the time of a team's latest request.
type arrival struct {
	leaf int32
	at   float64
}

// New returns a tree of the given teams. Requests of unknown teams are queued under defaultTeam, which must be a
// leaf.
func New(teams []Team, defaultTeam string, settings Settings) (*Tree, error) {
	share := 1 / max(1, float64(settings.Controllers))
	t := &Tree{
		ageMS: settings.AgeMS, byName: map[string]int32{},
		waiting: emptyList, offered: emptyList, running: emptyList, freeSlots: schedulerSlots,
		totalThreads: threadsPerCore, ownShare: share, ceilingShare: share,
	}
	for _, class := range settings.Classes {
		t.classes = append(t.classes, requestClass{
			name:            class.Name,
			threads:         float64(max(1, class.Threads)),
			holdsTableGroup: class.HoldsTableGroup,
			inOrder:         class.InOrder,
		})
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
		return nil, fmt.Errorf("default team %q does not exist or has child teams", defaultTeam)
	}
	t.defaultLeaf = leaf
	if err := t.computeShares(); err != nil {
		return nil, err
	}
	return t, nil
}

// addTeams adds a node for each team, parents before their children.
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
			if _, duplicate := t.byName[team.Name]; duplicate || team.Name == "" {
				return fmt.Errorf("team %q is listed twice or has an empty name", team.Name)
			}
			t.byName[team.Name] = int32(len(t.nodes))
			t.nodes = append(t.nodes, node{team: team, parent: parent, index: int32(len(t.nodes))})
		}
		if len(later) == len(pending) {
			return fmt.Errorf("team %q has parent %q, which does not exist or is its descendant",
				later[0].Name, later[0].Parent)
		}
		pending = later
	}
	return nil
}

// computeShares computes the share of every node: its guaranteed share, and a part of what is not guaranteed by
// weight. The shares of siblings add up to 1.
func (t *Tree) computeShares() error {
	for i := range t.nodes {
		guaranteed, weights := 0.0, 0.0
		for _, c := range t.nodes[i].children {
			guaranteed += t.nodes[c].team.GuaranteedShare
			weights += t.nodes[c].weight()
		}
		if guaranteed > 1+1e-9 {
			return fmt.Errorf("guaranteed shares of the teams under %q add up to %g, want at most 1",
				t.nodes[i].team.Name, guaranteed)
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

// Step processes one event. The returned effects are valid until the next call.
func (t *Tree) Step(now float64, event *Event) []Effect {
	t.now, t.effects = max(t.now, now), t.effects[:0]
	switch event.Kind {
	case RequestQueued:
		t.enqueue(event)
	case AttemptStarted:
		t.attemptStarted(event)
	case AttemptEnded:
		t.attemptEnded(event)
	case RequestClosed:
		t.closeRequest(event)
	case CapacityChanged:
		t.totalThreads = threadsPerCore * max(1, event.Cores)
	case Ticked:
		t.tick()
	case ShutdownStarted:
		t.shuttingDown = true
		for t.waiting.first != none {
			t.offer(t.waiting.first, false)
		}
	case RequestReturned:
		if index := t.slab.find(event.ID); index != none {
			req := t.slab.at(index)
			t.classes[req.class].immediatePending, req.immediatePending = false, false
			return t.effects // an immediate offer held no slot, so none has become free
		}
	case TeamChanged:
		t.changeTeam(event.NewLimits)
	}
	t.offerNext()
	return t.effects
}

func (t *Tree) emit(e Effect) { t.effects = append(t.effects, e) }

// tick offers overdue requests, charges running ones, unblocks nodes whose ceiling has refilled, and adjusts
// priority caps.
func (t *Tree) tick() {
	t.offerOverdue()
	for index := t.running.first; index != none; index = t.slab.at(index).links[listRunning].next {
		t.recordUsage(t.slab.at(index))
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

// changeTeam replaces the limits of a team; its parent stays. Limits whose guaranteed shares exceed the whole are
// ignored.
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

// SetCeilingShare sets the fraction of every ceiling that this controller may use, from 0 to 1.
func (t *Tree) SetCeilingShare(share float64) { t.ceilingShare = min(1, max(0, share)) }

// fairThreads returns the node's share of this controller's threads.
func (t *Tree) fairThreads(n *node) float64 { return n.totalShare * t.totalThreads * t.ownShare }

// isOverShare reports whether a team uses more threads than its fair share.
func (t *Tree) isOverShare(leaf int32) bool {
	n := &t.nodes[leaf]
	return n.threads > overShareFactor*t.fairThreads(n)
}

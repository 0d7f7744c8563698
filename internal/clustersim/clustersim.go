// Package clustersim plays a fleet of the very decision packages in simulated time: hundreds to thousands of views on a network
// that delays, drops, doubles and cuts, with members that stall, die and start again. One seed plays one history. It is used by
// tests and measurements alone.
package clustersim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

// Net is how the network is.
type Net struct {
	LeastMS, MostMS float64
	Loss, Doubling  float64
	Cut             func(from, to int) bool // nil: nothing is
}

// Node is one controller.
type Node struct {
	View    *membership.View
	Name    string
	Address string
	Up      bool
	until   float64 // it stands still until then
	Rate    float64 // of its clock
	run     int     // of its starts
	ticking float64 // the tick that is lined up
}

type event struct {
	at   float64
	seq  uint64
	to   int
	run  int
	ev   membership.Event
	from int
	call func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// Fleet is a fleet in simulated time.
type Fleet struct {
	Now        float64
	Net        Net
	Nodes      []*Node
	Seeds      []string
	Membership membership.Settings
	Consensus  consensus.Settings
	Zones      int
	// Saw is told of each effect that says something.
	Saw func(node int, e *membership.Effect)
	// Tap is shown each datagram that arrives.
	Tap func(from, to int, data []byte)

	Messages, Bytes uint64 // sent, exchanges included

	chance    *rand.Rand
	queue     queue
	seq       uint64
	byAddress map[string]int
	life      uint64
}

// New returns a fleet of n that are not started.
func New(n int, seed uint64) *Fleet {
	f := &Fleet{Membership: membership.DefaultSettings(), Consensus: consensus.DefaultSettings(), Net: Net{LeastMS: 0.2, MostMS: 2}, chance: rand.New(rand.NewPCG(seed, 1)), byAddress: map[string]int{}, life: 1000, Zones: 3}
	for k := range n {
		nd := &Node{Rate: 1, Name: fmt.Sprintf("n%d", k), Address: fmt.Sprintf("10.0.%d.%d:7", k/250, k%250)}
		f.Nodes = append(f.Nodes, nd)
		f.byAddress[nd.Address] = k
		if k < 3 {
			f.Seeds = append(f.Seeds, nd.Address)
		}
	}
	return f
}

// Chance is the history's own source of chance.
func (f *Fleet) Chance() *rand.Rand { return f.chance }

// Start starts a node anew.
func (f *Fleet) Start(k int) {
	nd := f.Nodes[k]
	f.life++
	nd.Up, nd.until = true, 0
	nd.run++
	nd.View = membership.New(f.Local(k), "sim", membership.Member{Name: nd.Name, Incarnation: f.life, Address: nd.Address, Zone: fmt.Sprintf("z%d", k%f.Zones),
		Version: 1, Flags: membership.Ready}, f.Seeds, f.Membership, f.chance.Uint32())
	nd.ticking = f.Now
	f.put(event{at: f.Now, to: k, run: nd.run, ev: membership.Event{Kind: membership.Ticked}})
}

// Move gives a node another address before its next start.
func (f *Fleet) Move(k int, address string) {
	f.Nodes[k].Address = address
	f.byAddress[address] = k
}

// Kill ends a node without a word.
func (f *Fleet) Kill(k int) {
	f.Nodes[k].Up = false
	f.Nodes[k].run++
}

// Stall has a node stand still for so long; what comes meanwhile is heard afterwards.
func (f *Fleet) Stall(k int, ms float64) { f.Nodes[k].until = f.Now + ms }

// At has something done at a time.
func (f *Fleet) At(at float64, call func()) { f.put(event{at: at, to: -1, call: call}) }

// Tell plays an event to a node now.
func (f *Fleet) Tell(k int, ev membership.Event) { f.play(k, -1, &ev) }

func (f *Fleet) put(e event) {
	f.seq++
	e.seq = f.seq
	heap.Push(&f.queue, e)
}

// Run plays the fleet up to a time.
func (f *Fleet) Run(until float64) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.Now = max(f.Now, e.at)
		if e.call != nil {
			e.call()
			continue
		}
		nd := f.Nodes[e.to]
		if !nd.Up || nd.run != e.run {
			continue
		}
		if f.Now < nd.until {
			e.at = nd.until
			f.put(e)
			continue
		}
		if e.ev.Kind == membership.Ticked && e.from < 0 && nd.ticking != e.at && nd.until < e.at {
			continue // another one took its place
		}
		f.play(e.to, e.from, &e.ev)
	}
	f.Now = until
}

// play hands an event to a node and carries what follows.
func (f *Fleet) play(k, from int, ev *membership.Event) {
	nd := f.Nodes[k]
	effects := nd.View.Step(f.Local(k), ev)
	for i := range effects {
		e := &effects[i]
		switch e.Kind {
		case membership.Send:
			f.Messages++
			f.Bytes += uint64(len(e.Data))
			f.carry(k, e.To, membership.Event{Kind: membership.DatagramReceived, Data: e.Data})
		case membership.Exchange:
			f.exchange(k, e.To, e.Data)
		case membership.Reply:
			if from >= 0 && from < len(f.Nodes) && f.open(k, from) {
				f.Messages++
				f.Bytes += uint64(len(e.Data))
				f.put(event{at: f.Now + f.delay(), to: from, run: f.Nodes[from].run, from: k,
					ev: membership.Event{Kind: membership.ExchangeAnswered, From: nd.Address, Data: e.Data}})
			}
		default:
			if f.Saw != nil {
				f.Saw(k, e)
			}
		}
	}
	if next := max(nd.View.Next()/nd.Rate, f.Now+0.01); next != nd.ticking || ev.Kind == membership.Ticked {
		nd.ticking = next
		f.put(event{at: next, to: k, run: nd.run, from: -1, ev: membership.Event{Kind: membership.Ticked}})
	}
}

// Local is a node's own clock.
func (f *Fleet) Local(k int) float64 { return f.Now * f.Nodes[k].Rate }

func (f *Fleet) delay() float64 {
	return f.Net.LeastMS + (f.Net.MostMS-f.Net.LeastMS)*f.chance.Float64()
}

func (f *Fleet) open(from, to int) bool { return f.Net.Cut == nil || !f.Net.Cut(from, to) }

func (f *Fleet) carry(from int, address string, ev membership.Event) {
	to, ok := f.byAddress[address]
	if !ok || !f.Nodes[to].Up || f.Nodes[to].Address != address || !f.open(from, to) {
		return
	}
	ev.From = f.Nodes[from].Address
	times := 1
	if f.chance.Float64() < f.Net.Doubling {
		times = 2
	}
	for range times {
		if f.chance.Float64() >= f.Net.Loss {
			if f.Tap != nil {
				f.Tap(from, to, ev.Data)
			}
			f.put(event{at: f.Now + f.delay(), to: to, run: f.Nodes[to].run, from: from, ev: ev})
		}
	}
}

// exchange is a connection: nothing is lost on it, but it needs both ways.
func (f *Fleet) exchange(from int, address string, data []byte) {
	to, ok := f.byAddress[address]
	if !ok || !f.Nodes[to].Up || f.Nodes[to].Address != address || !f.open(from, to) || !f.open(to, from) {
		return
	}
	f.Messages++
	f.Bytes += uint64(len(data))
	f.put(event{at: f.Now + 2*f.delay(), to: to, run: f.Nodes[to].run, from: from,
		ev: membership.Event{Kind: membership.ExchangeRequested, From: f.Nodes[from].Address, Data: data}})
}

// Settled tells whether each node that is up holds exactly those that are up for living, but suspects none.
func (f *Fleet) Settled() bool {
	up := 0
	for _, nd := range f.Nodes {
		up += btoi(nd.Up)
	}
	for _, nd := range f.Nodes {
		if nd.Up && nd.View.Size() != up-1 {
			return false
		}
	}
	for _, nd := range f.Nodes {
		if !nd.Up {
			continue
		}
		for _, other := range f.Nodes {
			if m, known := nd.View.Find(other.Name); other.Up != (known && m.State == membership.Alive) {
				return false
			}
		}
	}
	return true
}

// WhenSettled runs until the views are settled and gives the time that took, or -1 if they are not within most.
func (f *Fleet) WhenSettled(most, step float64) float64 {
	began := f.Now
	for f.Now < began+most {
		f.Run(f.Now + step)
		if f.Settled() {
			return f.Now - began
		}
	}
	return -1
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

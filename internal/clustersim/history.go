package clustersim

import (
	"fmt"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// Fault is one thing that is done to a fleet at a time.
type Fault struct {
	At   float64
	Kind string // kill, open, wipe, stall, cut, mute, heal, lossy, diskfull
	Node int
	MS   float64
}

// String returns the fault on one line: its time, kind, node and length.
func (f Fault) String() string { return fmt.Sprintf("%.0f ms: %s %d %.0f", f.At, f.Kind, f.Node, f.MS) }

var faultKinds = []string{"kill", "kill", "open", "open", "open", "wipe", "stall", "stall", "cut", "mute", "heal", "heal", "lossy", "diskfull"}

// Faults draws a history's faults.
func Faults(h *Hall, until float64) (list []Fault) {
	for at := 9000.0; at < until; at += 300 + 4000*h.chance.Float64() {
		f := Fault{At: at, Kind: faultKinds[h.chance.IntN(len(faultKinds))], Node: h.chance.IntN(len(h.Nodes)), MS: 200 * math.Exp(5*h.chance.Float64())}
		if f.Kind == "wipe" && h.chance.IntN(3) > 0 { // more lost disks than voters that are left to tell of them is not survived
			f.Kind = "heal"
		}
		list = append(list, f)
	}
	return list
}

// cause does it.
func (h *Hall) cause(f Fault) {
	nd := h.Nodes[f.Node]
	switch f.Kind {
	case "kill":
		h.Kill(f.Node)
	case "open":
		if !nd.Up {
			h.Open(f.Node)
		}
	case "wipe":
		if !nd.Up && f.Node != 0 { // one voter at a time may forget
			for k, s := range h.Seats {
				if k != f.Node && s.Disk.Snap == nil && k < len(h.Founders) {
					return
				}
			}
			h.Wipe(f.Node)
			h.Open(f.Node)
		}
	case "stall":
		h.Stall(f.Node, f.MS)
	case "cut":
		side := f.Node
		h.Net.Cut = func(a, b int) bool { return (a+side)%3 == 0 != ((b+side)%3 == 0) }
	case "mute":
		h.Net.Cut = func(a, _ int) bool { return a == f.Node }
	case "heal":
		h.Net.Cut, h.Net.Loss = nil, 0
		for _, s := range h.Seats {
			s.Disk.Fails = false
		}
	case "lossy":
		h.Net.Loss = 0.2
	case "diskfull":
		if slices.IndexFunc(h.Seats, func(s *Seat) bool { return s.Disk.Fails }) < 0 {
			h.Seats[f.Node].Disk.Fails = true
		}
	}
}

// Outcome is what a history came to.
type Outcome struct {
	Seed     uint64
	Faults   []Fault
	Broken   []string
	Claims   int
	Declared int
}

// healMS is how long views may need at the end of a history: what was accused just before has to be settled, too.
const healMS = 20_000

// Play plays one history: a fleet of seven with three founders, and faults, or those that the seed draws. At its end all is made whole,
// and the views must become equal.
func Play(seed uint64, faults []Fault) Outcome {
	const until = 90_000.0
	h := NewHall(7, 3, seed)
	h.Net.Doubling = 0.02
	if faults == nil {
		faults = Faults(h, until)
	}
	for k := range h.Nodes {
		h.Open(k)
	}
	for _, f := range faults {
		h.Run(f.At)
		h.cause(f)
	}
	h.Run(until)
	h.cause(Fault{Kind: "heal"})
	for _, nd := range h.Nodes {
		h.Run(max(h.Now, nd.until)) // those that stand still wake up
	}
	if h.WhenSettled(healMS, 100) < 0 {
		h.Broken = append(h.Broken, fmt.Sprintf("the views are not equal %d ms after all is whole again", healMS))
	}
	o := Outcome{Seed: seed, Faults: faults, Broken: h.Broken, Claims: len(h.Claims), Declared: h.Declared}
	if !Linearizable(h.Claims, h.open) {
		o.Broken = append(o.Broken, "the claims are not linearizable")
	}
	return o
}

// Linearizable tells whether there is an order in which all claims make sense: nothing is granted to a life after it was declared
// lost, nor refused as lost before.
func Linearizable(claims []Claim, open map[string]Claim) bool {
	var ops []porcupine.Operation
	ids := map[string]int{}
	id := func(c Claim) int {
		key := fmt.Sprint(c.Name, "/", c.Life)
		if _, known := ids[key]; !known {
			ids[key] = len(ids)
		}
		return ids[key]
	}
	for _, c := range claims {
		ops = append(ops, porcupine.Operation{ClientId: c.Node, Input: id(c), Output: c.Kind, Call: int64(c.Call * 1000), Return: int64(c.Return * 1000)})
	}
	for _, c := range open { // it may have happened at any time since
		ops = append(ops, porcupine.Operation{ClientId: c.Node, Input: id(c), Output: "declared", Call: int64(c.Call * 1000), Return: math.MaxInt64})
	}
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, len(ids))
			for _, o := range all {
				parts[o.Input.(int)] = append(parts[o.Input.(int)], o)
			}
			return parts
		},
		Init: func() any { return false },
		Step: func(state, _, output any) (bool, any) {
			lost := state.(bool)
			switch output {
			case "granted":
				return !lost, lost
			case "refused":
				return lost, lost
			}
			return true, true
		},
	}
	return porcupine.CheckOperations(model, ops)
}

// Smaller gives a history with fewer faults that is still broken.
func Smaller(o Outcome) Outcome {
	for again := true; again; {
		again = false
		for k := range o.Faults {
			less := append(slices.Clone(o.Faults[:k]), o.Faults[k+1:]...)
			if p := Play(o.Seed, less); len(p.Broken) > 0 {
				o, again = p, true
				break
			}
		}
	}
	return o
}

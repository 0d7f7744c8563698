package scheduler

import "math"

const (
	posts    = 3   // controllers that add up what the others tell: some may stall or be dead
	tellMS   = 250 // ms between tellings: half as often costs more gain than it saves in bytes
	toldStep = 0.2 // threads a core in each of the sixteen steps told, up to twice what is full
	warning  = 4   // threads more told of an executor that fails: three such warnings fill it
)

// tell lets a few controllers know what this one has out. Those add up and tell all how full executors are.
// A lost message is made good by the next; without any, the owed work decides.
func (g *Scheduler) tell() {
	if !g.settings.MayMessagePeers || g.now < g.tellAt || len(g.executors) == 0 || !g.blind(&g.executors[0]) {
		return
	}
	g.tellAt = g.now + tellMS*(0.9+0.2*g.chance())
	if !g.fitsTelling() {
		return // the owed work decides, as without tellings
	}
	g.mail = append(g.mail[:0], 0)
	for x := range g.executors {
		e, threads := &g.executors[x], g.executors[x].threads
		if e.bad > 0 && (g.now < e.restUntil || e.state == aside) {
			threads += warning // a dead executor looks empty otherwise
		}
		g.pack(e, threads)
	}
	if g.post(posts) {
		g.addUp(g.now - blindMS)
		for x := range g.executors {
			e := &g.executors[x]
			e.level = math.Round(max(e.sum/e.cores, e.sumMemory*fullPerCore) / toldStep)
		}
		g.publish()
	}
}

// heard takes a message: what another controller has out, or how full the executors are.
func (g *Scheduler) heard(from int, data []byte) {
	told := g.unpublish(from, data)
	for x := 0; told && x < len(g.executors); x++ {
		if e := &g.executors[x]; e.standing == Active {
			e.seen, e.seenMemory, e.seenAt = e.level*toldStep*e.cores, 0, g.now
		}
	}
	g.dirty = g.dirty || told
}

// telling is what another controller has out, as it last told.
type telling struct {
	at   float64
	mail []byte
}

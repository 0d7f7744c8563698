package scheduler

type row struct {
	state  state
	input  input
	next   state
	effect func(*Scheduler, int)
}

// turn plays an input to what stands at i, by the table, and tells whether a row was found.
func (g *Scheduler) turn(table []row, st *state, in input, i int) bool {
	for k := range table {
		if r := &table[k]; r.input == in && (r.state == *st || r.state == anyState) {
			*st = r.next
			if r.effect != nil {
				r.effect(g, i)
			}
			g.dirty = true
			return true
		}
	}
	return false
}

// request plays an input to a request, judge to an executor; do adds an action.
func (g *Scheduler) request(i int, in input) { g.turn(requestTable, &g.slab.places[i].state, in, i) }

func (g *Scheduler) judge(x int, in input) { g.turn(executorTable, &g.executors[x].state, in, x) }

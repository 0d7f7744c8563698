package scheduler

// lend counts an attempt of s as out, settle as back.
func (g *Scheduler) lend(s *request, x int, grant float64) *attempt {
	e, h, threads := &g.executors[x], &s.attempts[s.fired], g.offerings[s.offering].threads
	*h = attempt{executor: x, sent: g.now, noted: g.now, threads: threads, grant: grant, out: true, doubt: true}
	if s.begun() > 0 {
		g.extras.add(g.now, 1)
	}
	if s.now {
		s.now = false
		g.takes.add(g.now, 1)
	}
	if e.out == 0 {
		e.busySince = g.now
	}
	s.fired, s.out = s.fired+1, s.out+1
	e.out, e.threads, e.memory = e.out+1, e.threads+threads, e.memory+grant
	g.lent(e.place, threads)
	return h
}

// regrant books the memory that a running request is to have now, and names it where that is another amount.
func (g *Scheduler) regrant(s *request) {
	h := s.last()
	e := &g.executors[h.executor]
	was := h.grant
	h.grant = g.grant(s, e)
	if e.memory += h.grant - was; h.grant != was {
		g.terms(s)
	}
}

// line counts an attempt as standing in a line of its executor, or not.
func (g *Scheduler) line(h *attempt, waits bool) {
	e := &g.executors[h.executor]
	if h.waits != 0 {
		h.waits, e.lined = 0, e.lined-1
	}
	if waits {
		h.waits, e.lined = Waiting, e.lined+1
	}
}

func (g *Scheduler) settle(s *request, h *attempt, doubt bool) {
	e := &g.executors[h.executor]
	g.line(h, false)
	h.out, h.doubt = false, doubt
	s.out, e.out, e.threads, e.memory = s.out-1, e.out-1, e.threads-h.threads, e.memory-h.grant
	g.lent(e.place, -h.threads)
}

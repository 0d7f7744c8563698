package scheduler

const (
	againMS   = 25  // ms until a request whose attempt could not leave is tried again; doubled each time
	againMost = 400 // ms of that at most: descriptors and ports come back in such times
)

// rationLeft tells whether one more attempt beyond a request's first, besides those coming, is in the
// ration. One may begin as late as its connection comes up: counted from there, too, no more than one is
// over it.
func (g *Scheduler) rationLeft(coming int) bool {
	length, late := g.settings.RetryBudget.WindowMS, g.settings.ConnectTimeoutMS
	g.extras.forget(g.now-length-late-beatMS, 0)
	g.takes.forget(g.now-length, 0)
	most := g.settings.RetryBudget.Floor + g.settings.RetryBudget.Share*float64(g.takes.count())
	return length == 0 || float64(g.extras.since(g.now-length-beatMS)+coming+1) <= most &&
		float64(g.extras.count()+coming) <= most
}

func (g *Scheduler) mayFollow(s *request) bool {
	return g.settings.MayCancel && g.attemptsLeft(s) && g.rationLeft(g.returning())
}

func (g *Scheduler) attemptsLeft(s *request) bool {
	return s.fired < mostAttempts && s.begun() < g.settings.MaxAttempts
}

// returning counts the requests whose attempt was lost or called off and that wait for their next one. Whoever is called off
// besides them needs one more: without it an attempt would be thrown away that might still have been handled.
func (g *Scheduler) returning() (n int) {
	for i := range g.slab.places {
		s := &g.slab.places[i]
		n += count(s.used && s.begun() > 0 && (s.state == waiting || s.state == recalling))
	}
	return n
}

// neverLeft takes back what was counted for the latest attempt of s, as it never left, and has the next one wait a while.
func (g *Scheduler) neverLeft(s *request, h *attempt) {
	s.unsent++
	if s.begun() > 0 {
		g.extras.remove(h.sent)
	}
	s.again = g.now + min(againMost, againMS*float64(uint(1)<<(s.unsent-1)))
}

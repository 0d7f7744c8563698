package chaostest

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"liftshift/internal/testservers"
)

// Takeovers are the faults that a round of taking over knows, each of them while searches are in hand.
var TakeoverFaults = []string{"kill", "restart", "owner and heir", "heir at work", "asleep", "cut off", "clients cut", "holder wiped", "planned", "two of a zone", "council gone"}

const (
	recoveryTimeout = 90 * time.Second
	outcomeTimeout  = 5 * time.Second // after the fleet is whole
)

// Round is what came of one.
type Round struct {
	Fault                    string
	Requests                 int
	RanTwice                 []string // marks and ids that ran twice
	Contradictions           []string // searches with two final answers that don't go together
	WithoutOutcome           []string // searches that ran, or were in hand, and have no outcome
	Disconnected             int      // searches whose connection broke
	Retried, RetriesHandled  int      // of those with a mark, once each elsewhere; and what came of it
	Outcomes                 map[string]int
	FirstAttempt             time.Duration // from the fault to the first run of what was in hand and not yet sent; 0: there was none
	OutcomesAgreed           time.Duration // from when the fleet was whole until the last outcome was told by all alike
	RetriesNotHandled        []string      // that came again, and what they heard
	UnsentAtFault, SentLater int           // labelled searches that had not been sent at a kill, and of those what ran by now
}

// roundRequest is a search of a round, as its client has it.
type roundRequest struct {
	id, key, class, result, retryResult string
	retryLatency                        time.Duration // the second time
}

// WaitUntilHandoffReady waits until all that run know who sits where, and hold their leases.
func (cl *Cluster) WaitUntilHandoffReady(most time.Duration) error {
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		why := ""
		for k, c := range cl.Controllers {
			if !c.Running() {
				continue
			}
			switch a, err := cl.Call(k, "estate", nil); {
			case err != nil:
				why = c.Name + ": " + err.Error()
			case a["held"] != true:
				why = c.Name + " holds no lease"
			case a["parts"] != 32.0 || a["parts_settled"] != 32.0:
				why = fmt.Sprintf("%s: %v of %v parts are settled", c.Name, a["parts_settled"], a["parts"])
			}
		}
		if why == "" {
			return nil
		}
		if time.Since(began) > most {
			return fmt.Errorf("not ready within %v: %s (seed %d)", most, why, cl.Config.Seed)
		}
	}
}

// submitOnce makes a search and tells how it ended. Its connection breaks after a time, if that is not 0.
func (cl *Cluster) submitOnce(k int, offering, id, mark string, breaks time.Duration) string {
	const patience = 5 * time.Second
	c, err := testservers.Dial(cl.Controllers[k].ClientAddress, 200*time.Millisecond)
	if err != nil {
		return "cut off"
	}
	defer c.Close()
	if breaks > 0 {
		defer time.AfterFunc(breaks, c.Close).Stop()
	}
	a, err := c.Submit(offering, id, mark, patience)
	switch {
	case err != nil:
		return "cut off"
	case a.Code == 0:
		return "handled"
	case a.Code == testservers.CodeRejected:
		return "denied"
	}
	return "written off"
}

// Outcome asks a controller what became of a search.
func (cl *Cluster) QueryOutcome(k int, req, mark string) string {
	c, err := testservers.Dial(cl.Controllers[k].ClientAddress, 200*time.Millisecond)
	if err != nil {
		return "cut off"
	}
	defer c.Close()
	params := map[string]any{"req": req}
	if mark != "" {
		params = map[string]any{"opkey": mark}
	}
	a, err := c.Call("outcome", params, 3*time.Second)
	if err != nil || a.Code != 0 {
		return fmt.Sprint("no outcome: ", a.Message, err)
	}
	return a.Outcome
}

// PlayTakeover plays one round: searches of all offerings at one controller, a fault, clients that come again elsewhere once, and all made
// whole. Tag must be another each time.
func (cl *Cluster) PlayTakeover(kind, tag string, searches int, chance *rand.Rand) (r Round, err error) {
	r = Round{Fault: kind, Requests: searches, Outcomes: map[string]int{}}
	owner := len(cl.Controllers) - 1 - chance.IntN(2) // no founder: the council's own losses are faults of their own
	ran := len(cl.RunLog.Runs())
	list := make([]roundRequest, searches)
	var all sync.WaitGroup
	back := make(chan int, searches)
	for n := range list {
		s := &list[n]
		s.class = []string{"mark", "mark", "once", "look"}[n%4]
		if s.id = fmt.Sprintf("%s-%d", tag, n); s.class == "mark" {
			s.key = "m-" + s.id
		}
		all.Add(1)
		breaks := time.Duration(0)
		if kind == "clients cut" { // they leave, and nothing else happens
			breaks = time.Duration(100+chance.IntN(900)) * time.Millisecond
		}
		wait := time.Duration(chance.IntN(400)) * time.Millisecond
		at := (owner + 1 + chance.IntN(len(cl.Controllers)-1)) % len(cl.Controllers)
		go func() {
			defer all.Done()
			time.Sleep(wait)
			if s.result = cl.submitOnce(owner, s.class, s.id, s.key, breaks); s.result != "cut off" || s.key == "" {
				return
			}
			for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) { // whoever takes connections
				if s.retryResult = cl.submitOnce(at, s.class, s.id+"b", s.key, 0); s.retryResult != "cut off" {
					break
				}
				at = (at + 1) % len(cl.Controllers)
			}
			back <- n
		}()
	}
	time.Sleep(time.Duration(chance.IntN(700)) * time.Millisecond)
	at, before := time.Now(), cl.RunLog.Runs()[ran:]
	down, err := cl.injectFault(kind, owner, chance)
	if err != nil {
		return r, err
	}
	all.Wait()
	cl.Relay.SetLinks(func(int, int) Link { return Link{} })
	for _, k := range down {
		if err := cl.Start(k); err != nil {
			return r, err
		}
	}
	if _, err := cl.WaitUntilConverged(recoveryTimeout); err != nil {
		return r, err
	}
	if err := cl.WaitUntilHandoffReady(recoveryTimeout); err != nil {
		return r, err
	}
	cl.checkRound(&r, list, ran, at, before)
	return r, nil
}

// PlayKillInFlight plays a round in which a controller is killed with so many labelled searches in hand, all entered by then; each client
// comes again elsewhere once.
func (cl *Cluster) PlayKillInFlight(tag string, searches int) (r Round, err error) {
	owner, ran := len(cl.Controllers)-1, len(cl.RunLog.Runs())
	list := make([]roundRequest, searches)
	var all sync.WaitGroup
	for n := range list {
		s := &list[n]
		s.id, s.class = fmt.Sprintf("%s-%d", tag, n), "mark"
		s.key = "m-" + s.id
		all.Add(1)
		go func() {
			defer all.Done()
			if s.result = cl.submitOnce(owner, s.class, s.id, s.key, 0); s.result == "cut off" {
				began := time.Now()
				s.retryResult = cl.submitOnce(n%owner, s.class, s.id+"b", s.key, 0)
				s.retryLatency = time.Since(began)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	at, before := time.Now(), cl.RunLog.Runs()[ran:]
	cl.Kill(owner)
	all.Wait()
	if err := cl.Start(owner); err != nil {
		return r, err
	}
	if _, err := cl.WaitUntilConverged(recoveryTimeout); err != nil {
		return r, err
	}
	if cl.Config.HandoffSettings != "" {
		if err := cl.WaitUntilHandoffReady(recoveryTimeout); err != nil {
			return r, err
		}
	}
	r = Round{Fault: "kill", Requests: searches, Outcomes: map[string]int{}}
	cl.checkRound(&r, list, ran, at, before)
	return r, nil
}

// injectFault does it, and gives the controllers that are to be started again.
func (cl *Cluster) injectFault(kind string, owner int, chance *rand.Rand) (down []int, err error) {
	kill := func(k int) {
		cl.Kill(k)
		down = append(down, k)
	}
	n := len(cl.Controllers)
	other := (owner + 1 + chance.IntN(n-1)) % n
	switch kind {
	case "kill":
		kill(owner)
	case "restart":
		cl.Kill(owner)
		err = cl.Start(owner)
	case "owner and heir", "two of a zone":
		kill(owner)
		kill(other)
	case "heir at work":
		kill(owner)
		if heir := cl.waitForSuccessor(owner, 6*time.Second); heir >= 0 {
			time.Sleep(time.Duration(chance.IntN(60)) * time.Millisecond)
			kill(heir)
		}
	case "asleep":
		err = cl.Signal(owner, syscall.SIGSTOP)
		time.Sleep(4500 * time.Millisecond)
		err = errors.Join(err, cl.Signal(owner, syscall.SIGCONT))
	case "cut off":
		cl.Relay.SetLinks(func(a, b int) Link { return Link{Cut: a == owner || b == owner} })
		time.Sleep(5 * time.Second)
	case "clients cut":
	case "holder wiped":
		cl.Kill(other)
		err = errors.Join(os.RemoveAll(cl.Controllers[other].Directory+"/store"), cl.Start(other))
		kill(owner)
	case "planned":
		if code := cl.Terminate(owner); code != 0 {
			err = fmt.Errorf("c%d ended with %d at a planned stop", owner, code)
		}
		down = append(down, owner)
	case "council gone":
		kill(owner)
		for k := range 2 {
			kill(k)
		}
	default:
		err = fmt.Errorf("no fault %q", kind)
	}
	return down, err
}

// waitForSuccessor waits until somebody has claimed what a controller left, and gives who; below 0: nobody.
func (cl *Cluster) waitForSuccessor(owner int, most time.Duration) int {
	for began := time.Now(); time.Since(began) < most; time.Sleep(10 * time.Millisecond) {
		for k, c := range cl.Controllers {
			if k == owner || !c.Running() {
				continue
			}
			a, err := cl.Call(k, "estate", nil)
			if err != nil {
				continue
			}
			claims, _ := a["claimed"].([]any)
			for _, x := range claims {
				if m, _ := x.(map[string]any); m["member"] == cl.Controllers[owner].Name {
					for heir, o := range cl.Controllers {
						if o.Name == m["heir"] && o.Running() {
							return heir
						}
					}
				}
			}
		}
	}
	return -1
}

// checkRound holds what clients heard and what is told now against what ran.
func (cl *Cluster) checkRound(r *Round, list []roundRequest, ran int, at time.Time, before []testservers.Run) {
	times := map[string]int{}
	for _, x := range cl.RunLog.Runs()[ran:] {
		times[requestName(x.ID, x.IdempotencyKey)]++
	}
	early := map[string]bool{}
	for _, x := range before {
		early[requestName(x.ID, x.IdempotencyKey)] = true
	}
	for _, x := range cl.RunLog.Runs()[ran:] {
		if x.At.After(at) && x.IdempotencyKey != "" && !early[x.IdempotencyKey] && (r.FirstAttempt == 0 || x.At.Sub(at) < r.FirstAttempt) {
			r.FirstAttempt = x.At.Sub(at)
		}
	}
	began := time.Now()
	for k := range list {
		s := &list[k]
		name := requestName(s.id, s.key)
		if s.class != "look" && times[name] > 1 {
			r.RanTwice = append(r.RanTwice, fmt.Sprintf("%s ran %d times", name, times[name]))
		}
		if s.result == "cut off" {
			r.Disconnected++
		}
		if s.retryResult != "" {
			if r.Retried++; s.retryResult == "handled" {
				r.RetriesHandled++
			} else {
				r.RetriesNotHandled = append(r.RetriesNotHandled, fmt.Sprintf("%s: %s, then %s after %v, ran %d times, began before the fault: %v", name, s.result, s.retryResult,
					s.retryLatency.Round(time.Millisecond), times[name], early[name]))
			}
		}
		r.Outcomes[s.class+" "+s.result]++
		if s.retryResult != "" {
			r.Outcomes[s.class+" then "+s.retryResult]++
		}
		if s.class == "look" {
			continue
		}
		told := cl.agreedOutcome(s, began.Add(cmp.Or(cl.Config.OutcomeTimeout, outcomeTimeout)))
		r.OutcomesAgreed = max(r.OutcomesAgreed, time.Since(began))
		r.Outcomes[s.class+" is "+told]++
		switch {
		case told == "open":
			r.WithoutOutcome = append(r.WithoutOutcome, fmt.Sprintf("%s (%s, %s, %s) is open still: %s", name, s.class, s.result, s.retryResult, cl.describeCopies(name)))
		case told == "unknown" && times[name] > 0:
			r.WithoutOutcome = append(r.WithoutOutcome, fmt.Sprintf("%s (%s, %s, %s) ran, and nobody knows of it", name, s.class, s.result, s.retryResult))
		case (s.result == "handled" || s.retryResult == "handled") && told != "handled",
			s.class == "once" && s.result == "denied" && told == "handled", told == "denied" && times[name] > 0:
			r.Contradictions = append(r.Contradictions, fmt.Sprintf("%s (%s): a client heard %s and %s, told is %s, it ran %d times", name, s.class, s.result, s.retryResult, told, times[name]))
		}
		if s.key != "" && s.result == "cut off" && !early[s.key] {
			if r.UnsentAtFault++; times[s.key] > 0 {
				r.SentLater++
			}
		}
	}
}

// describeCopies gives what each controller has of a search, for a complaint.
func (cl *Cluster) describeCopies(name string) (text string) {
	for k, c := range cl.Controllers {
		a, err := cl.Call(k, "estate explain", map[string]any{"name": name})
		copies, _ := a["copies"].([]any)
		if err != nil || len(copies) == 0 {
			text += c.Name + " nothing; "
			continue
		}
		for _, x := range copies {
			m, _ := x.(map[string]any)
			text += fmt.Sprintf("%s %v of %v/%v word %v %v in hand %v; ", c.Name, m["state"], m["owner"], m["life"], m["number"], m["outcome"], m["in_hand_here"])
		}
	}
	return text
}

func requestName(id, mark string) string {
	if mark != "" {
		return mark
	}
	return id
}

// agreedOutcome asks each controller what became of a search until they say the same, and that it is over: where its client heard that
// it was handled by one that was cut off, until the late word of that has come.
func (cl *Cluster) agreedOutcome(s *roundRequest, until time.Time) string {
	for {
		var told []string
		for k, c := range cl.Controllers {
			if c.Running() {
				told = append(told, cl.QueryOutcome(k, s.id, s.key))
			}
		}
		slices.Sort(told)
		one := slices.Compact(told)
		late := (s.result == "handled" || s.retryResult == "handled") && one[0] != "handled"
		if len(one) == 1 && one[0] != "open" && !late || time.Now().After(until) {
			if len(one) > 1 {
				return fmt.Sprint(one)
			}
			return one[0]
		}
		time.Sleep(50 * time.Millisecond)
	}
}

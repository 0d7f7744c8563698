package chaostest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"liftshift/internal/testservers"
)

const (
	recoveryTimeout    = 90 * time.Second // until all controllers have converged and are ready after a fault
	outcomeTimeout     = 5 * time.Second  // until all outcomes are agreed after that
	outcomePoll        = 50 * time.Millisecond
	roundDialTimeout   = 200 * time.Millisecond
	roundDeadline      = 5 * time.Second
	retryFor           = 2 * time.Second // a client looks for a controller that takes its retry
	retryInterval      = 20 * time.Millisecond
	killAfter          = 300 * time.Millisecond // all requests of PlayKillInFlight have been accepted by then
	outcomeCallTimeout = 3 * time.Second
)

// Round is what came of one fault while requests were in flight.
type Round struct {
	Fault             string
	Requests          int
	RanTwice          []string // idempotency keys and IDs
	Contradictions    []string // requests with two final results that contradict each other
	WithoutOutcome    []string // requests that ran, or were in flight, and have no outcome
	Disconnected      int      // requests whose connection ended
	Retried           int      // of those with an idempotency key, sent again to another controller
	RetriesHandled    int
	RetriesNotHandled []string       // and what became of them
	Outcomes          map[string]int // by class and result
	FirstAttempt      time.Duration  // from the fault to the first attempt of a request that was accepted and not yet sent; 0: there was none
	OutcomesAgreed    time.Duration  // from the recovery until all controllers agree on the last outcome
	UnsentAtFault     int            // keyed requests that had not been sent to an executor when their controller failed
	SentLater         int            // of those that have run by now
}

// roundRequest is a request of a round, as its client has it.
type roundRequest struct {
	id, key, class      string
	result, retryResult Result // retryResult is empty where there was no retry
	retryLatency        time.Duration
}

// name is what the run log and the controllers know the request by.
func (r *roundRequest) name() string { return requestName(r.id, r.key) }

func (r *roundRequest) handled() bool {
	return r.result == ResultHandled || r.retryResult == ResultHandled
}

// requestName returns the idempotency key of a request, or its ID if it has none.
func requestName(id, key string) string {
	if key != "" {
		return key
	}
	return id
}

// submitOnce sends a request on a connection of its own, which is ended after some time unless that is 0.
func (cl *Cluster) submitOnce(k int, class, id, key string, disconnectAfter time.Duration) Result {
	c, err := testservers.Dial(cl.Controllers[k].ClientAddress, roundDialTimeout)
	if err != nil {
		return ResultDisconnected
	}
	defer c.Close()
	if disconnectAfter > 0 {
		defer time.AfterFunc(disconnectAfter, c.Close).Stop()
	}
	return resultOf(c.Submit(class, id, key, roundDeadline))
}

// PlayTakeover plays one round: requests of all classes at one controller, a fault, clients that retry once at another controller, and the
// recovery. The tag must be another each time.
func (cl *Cluster) PlayTakeover(fault, tag string, requests int, random *rand.Rand) (round Round, err error) {
	round = Round{Fault: fault, Requests: requests, Outcomes: map[string]int{}}
	owner := len(cl.Controllers) - 1 - random.IntN(2) // no founder: a quorum that is lost is a fault of its own
	ranBefore := len(cl.RunLog.Runs())
	list := make([]roundRequest, requests)
	var clients sync.WaitGroup
	for n := range list {
		r := &list[n]
		r.id = fmt.Sprintf("%s-%d", tag, n)
		r.class = []string{classKeyed, classKeyed, classNonIdempotent, classIdempotent}[n%4]
		if r.class == classKeyed {
			r.key = "m-" + r.id
		}
		c := roundClient{cluster: cl, request: r, owner: owner}
		if fault == FaultClientsDisconnected {
			c.disconnectAfter = time.Duration(100+random.IntN(900)) * time.Millisecond
		}
		c.pause = time.Duration(random.IntN(400)) * time.Millisecond
		c.retryAt = (owner + 1 + random.IntN(len(cl.Controllers)-1)) % len(cl.Controllers)
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.run()
		}()
	}
	time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
	check := cl.newRoundCheck(&round, ranBefore)
	down, err := cl.injectFault(fault, owner, random)
	if err != nil {
		return round, err
	}
	clients.Wait()
	cl.healLinks()
	for _, k := range down {
		if err := cl.Start(k); err != nil {
			return round, err
		}
	}
	if _, err := cl.WaitUntilConverged(recoveryTimeout); err != nil {
		return round, err
	}
	if err := cl.WaitUntilHandoffReady(recoveryTimeout); err != nil {
		return round, err
	}
	check.run(list)
	return round, nil
}

// roundClient sends one request of a round.
type roundClient struct {
	cluster         *Cluster
	request         *roundRequest
	owner, retryAt  int // controllers
	pause           time.Duration
	disconnectAfter time.Duration
}

// run sends the request, and retries once if it has an idempotency key and its connection ends: at any controller that takes connections.
func (c *roundClient) run() {
	r := c.request
	time.Sleep(c.pause)
	r.result = c.cluster.submitOnce(c.owner, r.class, r.id, r.key, c.disconnectAfter)
	if r.result != ResultDisconnected || r.key == "" {
		return
	}
	for start := time.Now(); time.Since(start) < retryFor; time.Sleep(retryInterval) {
		r.retryResult = c.cluster.submitOnce(c.retryAt, r.class, r.id+"b", r.key, 0)
		if r.retryResult != ResultDisconnected {
			return
		}
		c.retryAt = (c.retryAt + 1) % len(c.cluster.Controllers)
	}
}

// PlayKillInFlight plays a round in which a controller is killed with keyed requests in flight, all accepted by then; each client retries
// once at another controller.
func (cl *Cluster) PlayKillInFlight(tag string, requests int) (round Round, err error) {
	owner, ranBefore := len(cl.Controllers)-1, len(cl.RunLog.Runs())
	list := make([]roundRequest, requests)
	var clients sync.WaitGroup
	for n := range list {
		r := &list[n]
		r.id = fmt.Sprintf("%s-%d", tag, n)
		r.class = classKeyed
		r.key = "m-" + r.id
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.result = cl.submitOnce(owner, r.class, r.id, r.key, 0)
			if r.result != ResultDisconnected {
				return
			}
			start := time.Now()
			r.retryResult = cl.submitOnce(n%owner, r.class, r.id+"b", r.key, 0)
			r.retryLatency = time.Since(start)
		}()
	}
	time.Sleep(killAfter)
	check := cl.newRoundCheck(&round, ranBefore)
	cl.Kill(owner)
	clients.Wait()
	if err := cl.Start(owner); err != nil {
		return round, err
	}
	if _, err := cl.WaitUntilConverged(recoveryTimeout); err != nil {
		return round, err
	}
	if cl.Config.HandoffSettings != "" {
		if err := cl.WaitUntilHandoffReady(recoveryTimeout); err != nil {
			return round, err
		}
	}
	round = Round{Fault: FaultKill, Requests: requests, Outcomes: map[string]int{}}
	check.run(list)
	return round, nil
}

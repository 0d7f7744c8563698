package chaostest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"liftshift/internal/testservers"
)

const (
	// recoveryTimeout limits each of the two waits after a fault: until all controllers have converged, and until
	// they are ready to hand off requests.
	recoveryTimeout = 90 * time.Second
	// outcomeTimeout is how long after the recovery the controllers may take to agree on all outcomes.
	outcomeTimeout      = 5 * time.Second
	outcomePollInterval = 50 * time.Millisecond
	outcomeCallTimeout  = 3 * time.Second
	roundDialTimeout    = 200 * time.Millisecond
	roundDeadline       = 5 * time.Second // of each request
	// retryPeriod is how long a client looks for a controller that accepts its retry.
	retryPeriod   = 2 * time.Second
	retryInterval = 20 * time.Millisecond
	// killDelay is how long after the requests of PlayKillInFlight are sent their owner is killed. All of them have
	// been accepted by then.
	killDelay = 300 * time.Millisecond
)

// The bounds, in milliseconds, of the random times of PlayTakeover.
const (
	maxClientPauseMS = 400 // before a client sends its request
	maxFaultDelayMS  = 700 // after the clients are started
	// minDisconnectMS and disconnectSpanMS bound when a client of FaultClientsDisconnected closes its connection.
	minDisconnectMS  = 100
	disconnectSpanMS = 900
)

// Round holds the observations of one round: requests in flight at a controller, a fault, and the recovery from it.
type Round struct {
	Fault    string
	Requests int
	// RanTwice describes the requests that ran more than once and must not have.
	RanTwice []string
	// Contradictions describes the requests whose outcome contradicts their runs or the result that their client
	// received.
	Contradictions []string
	// WithoutOutcome describes the requests that are still open, and those that ran and have no outcome.
	WithoutOutcome []string
	// Disconnected counts the requests whose connection ended without a reply.
	Disconnected int
	// Retried counts the requests that were sent again, to another controller.
	Retried        int
	RetriesHandled int
	// RetriesNotHandled describes the retries that ended in any other way.
	RetriesNotHandled []string
	// Outcomes counts the requests by class and result, and by class and outcome.
	Outcomes map[string]int
	// FirstAttempt is the time from the fault to the first attempt of a keyed request that had not run before the
	// fault; 0 if there was none.
	FirstAttempt time.Duration
	// OutcomesAgreed is the time from the recovery until all controllers agreed on the last outcome.
	OutcomesAgreed time.Duration
	// UnsentAtFault counts the keyed requests that lost their connection and had not run when the fault was injected.
	UnsentAtFault int
	// SentLater counts those of UnsentAtFault that have run since.
	SentLater int
}

// roundRequest is a request of a round with the results that its client received.
type roundRequest struct {
	id, key, class      string
	result, retryResult Result // retryResult is empty if there was no retry
	retryLatency        time.Duration
}

// name returns the name by which the run log and the controllers identify the request.
func (r *roundRequest) name() string { return requestName(r.id, r.key) }

// handled reports whether the client was told, at the first try or at the retry, that the request is handled.
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

// submitOnce sends a request on a connection of its own. If disconnectAfter is not 0, the connection is closed after
// that time.
func (cl *Cluster) submitOnce(index int, class, id, key string, disconnectAfter time.Duration) Result {
	client, err := testservers.Dial(cl.Controllers[index].ClientAddress, roundDialTimeout)
	if err != nil {
		return ResultDisconnected
	}
	defer client.Close()
	if disconnectAfter > 0 {
		defer time.AfterFunc(disconnectAfter, client.Close).Stop()
	}
	return resultOf(client.Submit(class, id, key, roundDeadline))
}

// PlayTakeover plays one round: clients send requests of all classes to one controller, a fault is injected, the
// clients of keyed requests retry at another controller, and the cluster recovers. The tag is part of the request IDs
// and must be unique for each round of a cluster.
func (cl *Cluster) PlayTakeover(fault, tag string, requests int, random *rand.Rand) (round Round, err error) {
	round = Round{Fault: fault, Requests: requests, Outcomes: map[string]int{}}
	// The owner is one of the last two controllers, which are no founders: the loss of a quorum is a fault of its own.
	owner := len(cl.Controllers) - 1 - random.IntN(2)
	runsBefore := len(cl.RunLog.Runs())
	sent := make([]roundRequest, requests)
	var clients sync.WaitGroup
	for n := range sent {
		r := &sent[n]
		r.id = fmt.Sprintf("%s-%d", tag, n)
		r.class = []string{classKeyed, classKeyed, classNonIdempotent, classIdempotent}[n%4]
		if r.class == classKeyed {
			r.key = "m-" + r.id
		}
		c := roundClient{cluster: cl, request: r, owner: owner}
		if fault == FaultClientsDisconnected {
			c.disconnectAfter = time.Duration(minDisconnectMS+random.IntN(disconnectSpanMS)) * time.Millisecond
		}
		c.pause = time.Duration(random.IntN(maxClientPauseMS)) * time.Millisecond
		c.retryAt = (owner + 1 + random.IntN(len(cl.Controllers)-1)) % len(cl.Controllers)
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.run()
		}()
	}
	time.Sleep(time.Duration(random.IntN(maxFaultDelayMS)) * time.Millisecond)
	check := cl.newRoundCheck(&round, runsBefore)
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
	check.evaluate(sent)
	return round, nil
}

// roundClient is a client that sends one request of a round.
type roundClient struct {
	cluster         *Cluster
	request         *roundRequest
	owner, retryAt  int           // indexes of the controllers of the first try and of the next retry
	pause           time.Duration // before the request is sent
	disconnectAfter time.Duration // see submitOnce
}

// run sends the request. If the request has an idempotency key and its connection ends, run retries it at the
// controllers in turn, beginning with retryAt, until one of them replies.
func (c *roundClient) run() {
	r := c.request
	time.Sleep(c.pause)
	r.result = c.cluster.submitOnce(c.owner, r.class, r.id, r.key, c.disconnectAfter)
	if r.result != ResultDisconnected || r.key == "" {
		return
	}
	for start := time.Now(); time.Since(start) < retryPeriod; time.Sleep(retryInterval) {
		r.retryResult = c.cluster.submitOnce(c.retryAt, r.class, r.id+"b", r.key, 0)
		if r.retryResult != ResultDisconnected {
			return
		}
		c.retryAt = (c.retryAt + 1) % len(c.cluster.Controllers)
	}
}

// PlayKillInFlight plays a round in which a controller is killed with keyed requests in flight, all of which it has
// accepted. Each client retries once at another controller.
func (cl *Cluster) PlayKillInFlight(tag string, requests int) (round Round, err error) {
	owner, runsBefore := len(cl.Controllers)-1, len(cl.RunLog.Runs())
	sent := make([]roundRequest, requests)
	var clients sync.WaitGroup
	for n := range sent {
		r := &sent[n]
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
	time.Sleep(killDelay)
	check := cl.newRoundCheck(&round, runsBefore)
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
	check.evaluate(sent)
	return round, nil
}

package chaostest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// The faults of PlayTakeover. Each is injected while requests are in flight at one controller, which is their owner.
// The texts are accepted values of the settings of measurements.
const (
	// FaultKill kills the owner.
	FaultKill = "kill"
	// FaultRestart kills the owner and starts it again at once.
	FaultRestart = "restart"
	// FaultOwnerAndOther kills the owner and another controller.
	FaultOwnerAndOther = "owner and heir"
	// FaultSuccessorWhileAdopting kills the owner, and then a successor that is adopting its requests.
	FaultSuccessorWhileAdopting = "heir at work"
	// FaultSuspended suspends the owner for longer than its lease.
	FaultSuspended = "asleep"
	// FaultPartitioned cuts all links of the owner for a time.
	FaultPartitioned = "cut off"
	// FaultClientsDisconnected ends the connections of the clients; no controller fails.
	FaultClientsDisconnected = "clients cut"
	// FaultReplicaWiped restarts another controller with an empty store and kills the owner.
	FaultReplicaWiped = "holder wiped"
	// FaultGracefulStop stops the owner with SIGTERM.
	FaultGracefulStop = "planned"
	// FaultTwoOfZone kills the owner and another controller, for clusters whose controllers are all in one zone.
	FaultTwoOfZone = "two of a zone"
	// FaultQuorumLost kills the owner and two founders of the consensus group.
	FaultQuorumLost = "council gone"
)

// TakeoverFaults lists the faults that a series of rounds goes through in turn.
var TakeoverFaults = []string{
	FaultKill,
	FaultRestart,
	FaultOwnerAndOther,
	FaultSuccessorWhileAdopting,
	FaultSuspended,
	FaultPartitioned,
	FaultClientsDisconnected,
	FaultReplicaWiped,
	FaultGracefulStop,
	FaultTwoOfZone,
	FaultQuorumLost,
}

const (
	suspendDuration       = 4500 * time.Millisecond // longer than a lease
	partitionDuration     = 5 * time.Second
	successorTimeout      = 6 * time.Second
	successorPollInterval = 10 * time.Millisecond
	// maxAdoptionDelayMS bounds, in milliseconds, how long a successor has been adopting requests when it is killed.
	maxAdoptionDelayMS = 60
)

// injectFault injects a fault at the owner of the requests of a round. It returns the controllers that are not running
// afterwards, so that the caller can start them again.
func (cl *Cluster) injectFault(fault string, owner int, random *rand.Rand) (down []int, err error) {
	kill := func(index int) {
		cl.Kill(index)
		down = append(down, index)
	}
	count := len(cl.Controllers)
	other := (owner + 1 + random.IntN(count-1)) % count
	switch fault {
	case FaultKill:
		kill(owner)
	case FaultRestart:
		cl.Kill(owner)
		err = cl.Start(owner)
	case FaultOwnerAndOther, FaultTwoOfZone:
		kill(owner)
		kill(other)
	case FaultSuccessorWhileAdopting:
		kill(owner)
		if successor := cl.waitForSuccessor(owner, successorTimeout); successor >= 0 {
			time.Sleep(time.Duration(random.IntN(maxAdoptionDelayMS)) * time.Millisecond)
			kill(successor)
		}
	case FaultSuspended:
		err = cl.Signal(owner, syscall.SIGSTOP)
		time.Sleep(suspendDuration)
		err = errors.Join(err, cl.Signal(owner, syscall.SIGCONT))
	case FaultPartitioned:
		cl.Relay.SetLinks(func(from, to int) Link { return Link{Cut: from == owner || to == owner} })
		time.Sleep(partitionDuration)
	case FaultClientsDisconnected: // the clients end their own connections
	case FaultReplicaWiped:
		cl.Kill(other)
		err = errors.Join(os.RemoveAll(cl.Controllers[other].storeDirectory()), cl.Start(other))
		kill(owner)
	case FaultGracefulStop:
		if code := cl.Terminate(owner); code != 0 {
			err = fmt.Errorf("c%d ended with %d at a planned stop", owner, code)
		}
		down = append(down, owner)
	case FaultQuorumLost:
		kill(owner)
		for founder := range 2 {
			kill(founder)
		}
	default:
		err = fmt.Errorf("unknown fault %q", fault)
	}
	return down, err
}

// waitForSuccessor waits until a running controller reports that a successor has claimed the requests of an owner that
// is down. It returns the index of the successor, or -1 if there is no claim within the timeout.
func (cl *Cluster) waitForSuccessor(owner int, timeout time.Duration) int {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(successorPollInterval) {
		for k, c := range cl.Controllers {
			if k == owner || !c.Running() {
				continue
			}
			if successor := cl.successorOf(owner, k); successor >= 0 {
				return successor
			}
		}
	}
	return -1
}

// successorOf returns the index of the running successor of an owner according to the claims that another controller,
// the observer, reports, or -1 if there is none.
func (cl *Cluster) successorOf(owner, observer int) int {
	reply, err := cl.handoff(observer)
	if err != nil {
		return -1
	}
	for _, claim := range reply.Claims {
		if claim.Member != cl.Controllers[owner].Name {
			continue
		}
		for k, c := range cl.Controllers {
			if c.Name == claim.Successor && c.Running() {
				return k
			}
		}
	}
	return -1
}

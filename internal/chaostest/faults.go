package chaostest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// The faults of PlayTakeover. Each is injected while requests are in flight at a controller, their owner. The texts are values of settings
// of measurements.
const (
	FaultKill                   = "kill"
	FaultRestart                = "restart"
	FaultOwnerAndOther          = "owner and heir"
	FaultSuccessorWhileAdopting = "heir at work"
	FaultSuspended              = "asleep" // the owner, for longer than its lease
	FaultPartitioned            = "cut off"
	FaultClientsDisconnected    = "clients cut" // and nothing else happens
	FaultReplicaWiped           = "holder wiped"
	FaultGracefulStop           = "planned"
	FaultTwoOfZone              = "two of a zone"
	FaultQuorumLost             = "council gone"
)

// TakeoverFaults lists the faults that rounds go through in turn.
var TakeoverFaults = []string{FaultKill, FaultRestart, FaultOwnerAndOther, FaultSuccessorWhileAdopting, FaultSuspended, FaultPartitioned,
	FaultClientsDisconnected, FaultReplicaWiped, FaultGracefulStop, FaultTwoOfZone, FaultQuorumLost}

const (
	suspension       = 4500 * time.Millisecond
	partitionTime    = 5 * time.Second
	successorTimeout = 6 * time.Second
	successorPoll    = 10 * time.Millisecond
)

// injectFault injects a fault at the owner of requests and returns the controllers that have to be started again.
func (cl *Cluster) injectFault(fault string, owner int, random *rand.Rand) (down []int, err error) {
	kill := func(k int) {
		cl.Kill(k)
		down = append(down, k)
	}
	n := len(cl.Controllers)
	other := (owner + 1 + random.IntN(n-1)) % n
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
			time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			kill(successor)
		}
	case FaultSuspended:
		err = cl.Signal(owner, syscall.SIGSTOP)
		time.Sleep(suspension)
		err = errors.Join(err, cl.Signal(owner, syscall.SIGCONT))
	case FaultPartitioned:
		cl.Relay.SetLinks(func(from, to int) Link { return Link{Cut: from == owner || to == owner} })
		time.Sleep(partitionTime)
	case FaultClientsDisconnected:
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
		for k := range 2 {
			kill(k)
		}
	default:
		err = fmt.Errorf("no fault %q", fault)
	}
	return down, err
}

// waitForSuccessor waits until a controller that runs has claimed requests of an owner that is down, and returns its number; -1: none has.
func (cl *Cluster) waitForSuccessor(owner int, timeout time.Duration) int {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(successorPoll) {
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

// successorOf returns the successor of an owner that runs, by the claims that a controller has; -1: there is none.
func (cl *Cluster) successorOf(owner, k int) int {
	reply, err := cl.handoff(k)
	if err != nil {
		return -1
	}
	for _, claim := range reply.Claims {
		if claim.Member != cl.Controllers[owner].Name {
			continue
		}
		for number, c := range cl.Controllers {
			if c.Name == claim.Successor && c.Running() {
				return number
			}
		}
	}
	return -1
}

package chaostest

import (
	"context"
	"fmt"
	"time"

	"liftshift/internal/adminapi"
	"liftshift/internal/placement"
)

// controlTimeout limits one call to a control socket.
const controlTimeout = time.Second

// handoffPollInterval is the interval at which the controllers are asked whether they are ready to hand off requests.
const handoffPollInterval = 50 * time.Millisecond

// The states of a member in the replies of the control socket.
const (
	stateAlive = "here"
	stateDead  = "gone"
	stateLeft  = "left"
)

// Call sends a question to the control socket of a controller and returns the undecoded reply. The function ask decodes
// the reply into a type.
func (cl *Cluster) Call(index int, question string, fields map[string]any) (map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	return adminapi.Call(ctx, cl.Controllers[index].ControlSocket, question, fields)
}

// ask sends a question to the control socket of a controller and decodes the reply.
func ask[Reply any](cl *Cluster, index int, question string, request any) (Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	return adminapi.Ask[Reply](ctx, cl.Controllers[index].ControlSocket, question, request)
}

func (cl *Cluster) members(index int) (adminapi.MembersReply, error) {
	return ask[adminapi.MembersReply](cl, index, adminapi.OperationMembers, adminapi.Empty{})
}

func (cl *Cluster) consensus(index int) (adminapi.ConsensusReply, error) {
	return ask[adminapi.ConsensusReply](cl, index, adminapi.OperationConsensus, adminapi.Empty{})
}

func (cl *Cluster) handoff(index int) (adminapi.HandoffReply, error) {
	return ask[adminapi.HandoffReply](cl, index, adminapi.OperationHandoff, adminapi.Empty{})
}

// MembershipView returns the state of each member, by name, as seen by one controller.
func (cl *Cluster) MembershipView(index int) (map[string]string, error) {
	reply, err := cl.members(index)
	if err != nil {
		return nil, err
	}
	view := map[string]string{}
	for _, m := range reply.Members {
		view[m.Name] = m.State
	}
	return view, nil
}

// Converged reports whether each running controller sees exactly the running controllers as alive. If not, the reason
// names a controller whose view differs.
func (cl *Cluster) Converged() (converged bool, reason string) {
	for k, c := range cl.Controllers {
		if !c.Running() {
			continue
		}
		view, err := cl.MembershipView(k)
		if err != nil {
			return false, c.Name + ": " + err.Error()
		}
		for _, other := range cl.Controllers {
			if state := view[other.Name]; !matchesProcess(state, other.Running()) {
				return false, fmt.Sprintf("%s has %s as %q", c.Name, other.Name, state)
			}
		}
	}
	return true, ""
}

// matchesProcess reports whether the state of a member agrees with whether its process is running.
func matchesProcess(state string, running bool) bool {
	if running {
		return state == stateAlive
	}
	return state == "" || state == stateDead || state == stateLeft
}

// WaitUntilConverged waits until Converged reports true and returns the time that this took.
func (cl *Cluster) WaitUntilConverged(timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		converged, reason := cl.Converged()
		elapsed := time.Since(start)
		if converged {
			return elapsed, nil
		}
		if elapsed > timeout {
			return elapsed, fmt.Errorf("not converged within %v: %s (seed %d)", timeout, reason, cl.Config.Seed)
		}
		time.Sleep(convergePollInterval)
	}
}

// WaitUntilHandoffReady waits until all running controllers hold their leases and all partitions have settled on their
// replicas.
func (cl *Cluster) WaitUntilHandoffReady(timeout time.Duration) error {
	start := time.Now()
	for {
		reason := cl.handoffUnready()
		if reason == "" {
			return nil
		}
		if time.Since(start) > timeout {
			return fmt.Errorf("not ready within %v: %s (seed %d)", timeout, reason, cl.Config.Seed)
		}
		time.Sleep(handoffPollInterval)
	}
}

// handoffUnready names a running controller that is not ready to hand off its requests, and why. The reason is empty if
// all are ready.
func (cl *Cluster) handoffUnready() (reason string) {
	for k, c := range cl.Controllers {
		if !c.Running() {
			continue
		}
		reply, err := cl.handoff(k)
		switch {
		case err != nil:
			reason = c.Name + ": " + err.Error()
		case !reply.LeaseHeld:
			reason = c.Name + " holds no lease"
		case reply.Partitions != placement.PartitionCount || reply.PartitionsSettled != placement.PartitionCount:
			reason = fmt.Sprintf("%s: %d of %d partitions are settled", c.Name, reply.PartitionsSettled, reply.Partitions)
		}
	}
	return reason
}

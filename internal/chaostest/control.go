package chaostest

import (
	"context"
	"fmt"
	"time"

	"liftshift/internal/adminapi"
	"liftshift/internal/placement"
)

// controlTimeout is for one question at a control socket.
const controlTimeout = time.Second

// The states of a member, as the control socket names them.
const (
	stateAlive = "here"
	stateDead  = "gone"
	stateLeft  = "left"
)

// Call asks the control socket of a controller a question in its wire form; ask is the typed one.
func (cl *Cluster) Call(k int, question string, fields map[string]any) (map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	return adminapi.Call(ctx, cl.Controllers[k].ControlSocket, question, fields)
}

// ask asks the control socket of a controller a question.
func ask[Reply any](cl *Cluster, k int, question string, request any) (Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	return adminapi.Ask[Reply](ctx, cl.Controllers[k].ControlSocket, question, request)
}

func (cl *Cluster) members(k int) (adminapi.MembersReply, error) {
	return ask[adminapi.MembersReply](cl, k, adminapi.OperationMembers, adminapi.Empty{})
}

func (cl *Cluster) consensus(k int) (adminapi.ConsensusReply, error) {
	return ask[adminapi.ConsensusReply](cl, k, adminapi.OperationConsensus, adminapi.Empty{})
}

func (cl *Cluster) handoff(k int) (adminapi.HandoffReply, error) {
	return ask[adminapi.HandoffReply](cl, k, adminapi.OperationHandoff, adminapi.Empty{})
}

// MembershipView returns the state of each member as a controller has it.
func (cl *Cluster) MembershipView(k int) (map[string]string, error) {
	reply, err := cl.members(k)
	if err != nil {
		return nil, err
	}
	view := map[string]string{}
	for _, m := range reply.Members {
		view[m.Name] = m.State
	}
	return view, nil
}

// Converged reports whether each controller that runs sees those that run as alive and no others; if not, it says who does not.
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

// matchesProcess reports whether the state of a member is right for a process that runs or does not.
func matchesProcess(state string, running bool) bool {
	if running {
		return state == stateAlive
	}
	return state == "" || state == stateDead || state == stateLeft
}

// WaitUntilConverged waits until all views have converged and returns the time that it took.
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
		time.Sleep(convergeInterval)
	}
}

// WaitUntilHandoffReady waits until all controllers that run know the replicas of all partitions and hold their leases.
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
		time.Sleep(50 * time.Millisecond)
	}
}

// handoffUnready says which controller that runs is not ready to hand off its requests, and why; empty: none.
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

package chaostest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"liftshift/internal/adminapi"
	"liftshift/internal/testservers"
)

const (
	trafficDialTimeout = 50 * time.Millisecond
	trafficDeadline    = 3 * time.Second
)

// Traffic is a load of idempotent requests at all controllers and records how the requests ended.
type Traffic struct {
	mu       sync.Mutex // guards Requests
	Requests []SentRequest
	stopping chan struct{}
	clients  sync.WaitGroup
}

// StartTraffic starts clients at each controller that send requests, with a pause before each, until Stop is called.
// The tag, which must not contain a hyphen, is the first part of the request IDs.
func (cl *Cluster) StartTraffic(tag string, clientsPerController int, pause time.Duration) *Traffic {
	t := &Traffic{stopping: make(chan struct{})}
	for k := range cl.Controllers {
		for n := range clientsPerController {
			t.clients.Add(1)
			go func() {
				defer t.clients.Done()
				t.runClient(cl, k, fmt.Sprint(tag, "-", k, "-", n), pause)
			}()
		}
	}
	return t
}

// runClient sends requests to one controller until the traffic is stopped, and reconnects after a connection has ended.
func (t *Traffic) runClient(cl *Cluster, index int, tag string, pause time.Duration) {
	var conn *testservers.Client
	for n := 0; ; n++ {
		select {
		case <-t.stopping:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(pause):
		}
		if conn == nil {
			var err error
			if conn, err = testservers.Dial(cl.Controllers[index].ClientAddress, trafficDialTimeout); err != nil {
				conn = nil
				continue
			}
		}
		r := SentRequest{ID: fmt.Sprint(tag, "-", n), Class: classIdempotent, Controller: index, At: time.Now()}
		reply, err := conn.Submit(r.Class, r.ID, "", trafficDeadline)
		r.Latency = time.Since(r.At)
		r.Result = resultOf(reply, err)
		if err != nil {
			conn.Close()
			conn = nil
		}
		t.add(r)
	}
}

func (t *Traffic) add(r SentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Requests = append(t.Requests, r)
}

// Between returns the requests that were sent at or after from and before to.
func (t *Traffic) Between(from, to time.Time) (requests []SentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.Requests {
		if !r.At.Before(from) && r.At.Before(to) {
			requests = append(requests, r)
		}
	}
	return requests
}

// Stop stops the clients and waits for them to end.
func (t *Traffic) Stop() {
	close(t.stopping)
	t.clients.Wait()
}

// SetZoneUnreachable makes all executors of a zone unreachable, or makes them reachable again.
func (cl *Cluster) SetZoneUnreachable(zone string, unreachable bool) {
	for _, e := range cl.Executors {
		if e.Zone == zone {
			e.SetUnreachable(unreachable)
		}
	}
}

// SetZoneUnreachableForSome makes all executors of a zone unreachable, or reachable again, for the controllers in
// Config.SecondAddressUsers alone.
func (cl *Cluster) SetZoneUnreachableForSome(zone string, unreachable bool) {
	for _, e := range cl.Executors {
		if e.Zone == zone {
			e.SetSecondUnreachable(unreachable)
		}
	}
}

// ZoneStates returns the state of each zone, by name, as seen by one controller, or nil if the controller doesn't
// answer.
func (cl *Cluster) ZoneStates(index int) map[string]string {
	reply, err := ask[adminapi.LocalityReply](cl, index, adminapi.OperationLocality, adminapi.Empty{})
	if err != nil {
		return nil
	}
	states := map[string]string{}
	for _, zone := range reply.Zones {
		states[zone.Name] = zone.State
	}
	return states
}

// WaitForZoneState waits until all running controllers report a zone in one of the wanted states and returns the time
// that this took.
func (cl *Cluster) WaitForZoneState(timeout time.Duration, zone string, wanted ...string) (time.Duration, error) {
	start := time.Now()
	for {
		reason := ""
		for k, c := range cl.Controllers {
			if !c.Running() {
				continue
			}
			if state := cl.ZoneStates(k)[zone]; !slices.Contains(wanted, state) {
				reason = fmt.Sprintf("%s has %s as %q", c.Name, zone, state)
			}
		}
		elapsed := time.Since(start)
		if reason == "" {
			return elapsed, nil
		}
		if elapsed > timeout {
			return elapsed, fmt.Errorf("not agreed within %v on %s %v: %s (seed %d)",
				timeout, zone, wanted, reason, cl.Config.Seed)
		}
		time.Sleep(convergePollInterval)
	}
}

// CountRunsByLocality counts the runs of the traffic with the given tag that began at or after from and before to:
// those at an executor in the zone of the controller that received the request, and those in other zones.
func (cl *Cluster) CountRunsByLocality(tag string, from, to time.Time) (local, remote int) {
	zones := map[string]string{}
	for _, executor := range cl.Executors {
		zones[executor.Name] = executor.Zone
	}
	for _, run := range cl.RunLog.Runs() {
		fields := strings.Split(run.ID, "-") // tag, controller, client, number
		if fields[0] != tag || len(fields) != 4 || run.At.Before(from) || !run.At.Before(to) {
			continue
		}
		var controller int
		_, _ = fmt.Sscan(fields[1], &controller)
		if zones[run.Executor] == cl.ZoneOf(controller) {
			local++
		} else {
			remote++
		}
	}
	return local, remote
}

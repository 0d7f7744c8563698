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

// Traffic is idempotent requests of clients at all controllers, and how they ended.
type Traffic struct {
	mu       sync.Mutex
	Requests []SentRequest
	stopping chan struct{}
	clients  sync.WaitGroup
}

// StartTraffic starts some clients at each controller, which send requests with a pause between them until Stop.
func (cl *Cluster) StartTraffic(tag string, clientsPerController int, pause time.Duration) *Traffic {
	t := &Traffic{stopping: make(chan struct{})}
	for k := range cl.Controllers {
		for w := range clientsPerController {
			t.clients.Add(1)
			go func() {
				defer t.clients.Done()
				t.runClient(cl, k, fmt.Sprint(tag, "-", k, "-", w), pause)
			}()
		}
	}
	return t
}

func (t *Traffic) runClient(cl *Cluster, k int, tag string, pause time.Duration) {
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
			if conn, err = testservers.Dial(cl.Controllers[k].ClientAddress, trafficDialTimeout); err != nil {
				conn = nil
				continue
			}
		}
		r := SentRequest{ID: fmt.Sprint(tag, "-", n), Class: classIdempotent, Controller: k, At: time.Now()}
		answer, err := conn.Submit(r.Class, r.ID, "", trafficDeadline)
		r.Latency = time.Since(r.At)
		r.Result = resultOf(answer, err)
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

// Between returns the requests that were sent in a span of time.
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

// Stop stops the clients and waits for them.
func (t *Traffic) Stop() {
	close(t.stopping)
	t.clients.Wait()
}

// SetZoneUnreachable makes all executors of a zone unreachable, or reachable again.
func (cl *Cluster) SetZoneUnreachable(zone string, unreachable bool) {
	for _, e := range cl.Executors {
		if e.Zone == zone {
			e.SetUnreachable(unreachable)
		}
	}
}

// SetZoneUnreachableForSome makes all executors of a zone unreachable, or reachable again, for Config.SecondAddressUsers.
func (cl *Cluster) SetZoneUnreachableForSome(zone string, unreachable bool) {
	for _, e := range cl.Executors {
		if e.Zone == zone {
			e.SetSecondUnreachable(unreachable)
		}
	}
}

// ZoneStates returns the state of each zone as a controller has it; nil if it does not answer.
func (cl *Cluster) ZoneStates(k int) map[string]string {
	reply, err := ask[adminapi.LocalityReply](cl, k, adminapi.OperationLocality, adminapi.Empty{})
	if err != nil {
		return nil
	}
	states := map[string]string{}
	for _, zone := range reply.Zones {
		states[zone.Name] = zone.State
	}
	return states
}

// WaitForZoneState waits until all controllers that run have a zone in one of some states and returns the time that it took.
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
			return elapsed, fmt.Errorf("not agreed within %v on %s %v: %s (seed %d)", timeout, zone, wanted, reason, cl.Config.Seed)
		}
		time.Sleep(convergeInterval)
	}
}

// CountRunsByLocality counts the runs of some traffic that began in a span of time: those in the zone of their controller and the others.
func (cl *Cluster) CountRunsByLocality(tag string, from, to time.Time) (local, remote int) {
	zones := map[string]string{}
	for _, e := range cl.Executors {
		zones[e.Name] = e.Zone
	}
	for _, r := range cl.RunLog.Runs() {
		fields := strings.Split(r.ID, "-") // tag, controller, client, number
		if fields[0] != tag || len(fields) != 4 || r.At.Before(from) || !r.At.Before(to) {
			continue
		}
		var controller int
		_, _ = fmt.Sscan(fields[1], &controller)
		if zones[r.Executor] == cl.ZoneOf(controller) {
			local++
		} else {
			remote++
		}
	}
	return local, remote
}

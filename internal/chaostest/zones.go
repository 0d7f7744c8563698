package chaostest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"liftshift/internal/testservers"
)

// Traffic is what clients of all controllers heard, search by search.
type Traffic struct {
	mu       sync.Mutex
	Requests []SentRequest
	stop     chan struct{}
	clients  sync.WaitGroup
}

// StartTraffic has so many clients at each controller look things up, with a pause between, until it ends.
func (cl *Cluster) StartTraffic(tag string, each int, pause time.Duration) *Traffic {
	t := &Traffic{stop: make(chan struct{})}
	for k := range cl.Controllers {
		for w := range each {
			t.clients.Add(1)
			go func() {
				defer t.clients.Done()
				t.client(cl, k, fmt.Sprint(tag, "-", k, "-", w), pause)
			}()
		}
	}
	return t
}

func (t *Traffic) client(cl *Cluster, k int, tag string, pause time.Duration) {
	var c *testservers.Client
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			if c, err = testservers.Dial(cl.Controllers[k].ClientAddress, 50*time.Millisecond); err != nil {
				c = nil
				continue
			}
		}
		a := SentRequest{ID: fmt.Sprint(tag, "-", n), Class: "look", Controller: k, At: time.Now(), Result: "cut off"}
		got, err := c.Submit(a.Class, a.ID, "", 3*time.Second)
		switch a.Latency = time.Since(a.At); {
		case err != nil:
			c.Close()
			c = nil
		case got.Code == 0:
			a.Result = "handled"
		case got.Code == testservers.CodeRejected:
			a.Result = "denied"
		default:
			a.Result = "written off"
		}
		t.mu.Lock()
		t.Requests = append(t.Requests, a)
		t.mu.Unlock()
	}
}

// Between gives what began in a span of time.
func (t *Traffic) Between(from, to time.Time) (list []SentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.Requests {
		if !a.At.Before(from) && a.At.Before(to) {
			list = append(list, a)
		}
	}
	return list
}

// Stop ends it.
func (t *Traffic) Stop() {
	close(t.stop)
	t.clients.Wait()
}

// ZoneOf gives the zone of a controller.
func (cl *Cluster) ZoneOf(k int) string { return fmt.Sprint("z", k%max(1, cl.Config.Zones)) }

// SetZoneUnreachable has all engines of a zone out of reach, or in reach again.
func (cl *Cluster) SetZoneUnreachable(zone string, cut bool) {
	for _, e := range cl.Executors {
		if e.Zone == zone {
			e.SetUnreachable(cut)
		}
	}
}

// SetZoneUnreachableForSome has all engines of a zone out of reach for the controllers of Plan.Seconds, or in reach again.
func (cl *Cluster) SetZoneUnreachableForSome(zone string, cut bool) {
	for _, e := range cl.Executors {
		if e.Zone == zone {
			e.SetSecondUnreachable(cut)
		}
	}
}

// StopDiscovery ends the list of engines.
func (cl *Cluster) StopDiscovery() { cl.discovery.Stop() }

// ZoneStates gives how a controller has all zones, and the number of the plan.
func (cl *Cluster) ZoneStates(k int) (states map[string]string, number float64) {
	a, err := cl.Call(k, "zones", nil)
	if err != nil {
		return nil, 0
	}
	states = map[string]string{}
	list, _ := a["zones"].([]any)
	for _, x := range list {
		m, _ := x.(map[string]any)
		name, _ := m["zone"].(string)
		states[name], _ = m["state"].(string)
	}
	number, _ = a["plan"].(float64)
	return states, number
}

// WaitForZoneState waits until all that run have a zone in one of some states, and gives the time it took.
func (cl *Cluster) WaitForZoneState(most time.Duration, zone string, wanted ...string) (time.Duration, error) {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		why := ""
		for k, c := range cl.Controllers {
			if !c.Running() {
				continue
			}
			if s, _ := cl.ZoneStates(k); !slices.Contains(wanted, s[zone]) {
				why = fmt.Sprintf("%s has %s as %q", c.Name, zone, s[zone])
			}
		}
		if took := time.Since(began); why == "" {
			return took, nil
		} else if took > most {
			return took, fmt.Errorf("not agreed within %v on %s %v: %s (seed %d)", most, zone, wanted, why, cl.Config.Seed)
		}
	}
}

// CountRunsByLocality counts runs of traffic by whether they were in the zone of their controller, of those that began in a span of time.
func (cl *Cluster) CountRunsByLocality(tag string, from, to time.Time) (near, far int) {
	zone := map[string]string{}
	for _, e := range cl.Executors {
		zone[e.Name] = e.Zone
	}
	for _, r := range cl.RunLog.Runs() {
		parts := strings.Split(r.ID, "-")
		if parts[0] != tag || len(parts) != 4 || r.At.Before(from) || !r.At.Before(to) {
			continue
		}
		var k int
		_, _ = fmt.Sscan(parts[1], &k)
		if zone[r.Executor] == cl.ZoneOf(k) {
			near++
		} else {
			far++
		}
	}
	return near, far
}

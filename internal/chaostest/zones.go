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
	mu    sync.Mutex
	Asked []Asked
	stop  chan struct{}
	all   sync.WaitGroup
}

// Traffic has so many clients at each controller look things up, with a pause between, until it ends.
func (f *Fleet) Traffic(tag string, each int, pause time.Duration) *Traffic {
	t := &Traffic{stop: make(chan struct{})}
	for k := range f.Controllers {
		for w := range each {
			t.all.Add(1)
			go func() {
				defer t.all.Done()
				t.client(f, k, fmt.Sprint(tag, "-", k, "-", w), pause)
			}()
		}
	}
	return t
}

func (t *Traffic) client(f *Fleet, k int, tag string, pause time.Duration) {
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
			if c, err = testservers.Dial(f.Controllers[k].Client, 50*time.Millisecond); err != nil {
				c = nil
				continue
			}
		}
		a := Asked{ID: fmt.Sprint(tag, "-", n), Offering: "look", Controller: k, At: time.Now(), Outcome: "cut off"}
		got, err := c.Submit(a.Offering, a.ID, "", 3*time.Second)
		switch a.Took = time.Since(a.At); {
		case err != nil:
			c.Close()
			c = nil
		case got.Code == 0:
			a.Outcome = "handled"
		case got.Code == testservers.CodeRejected:
			a.Outcome = "denied"
		default:
			a.Outcome = "written off"
		}
		t.mu.Lock()
		t.Asked = append(t.Asked, a)
		t.mu.Unlock()
	}
}

// Between gives what began in a span of time.
func (t *Traffic) Between(from, to time.Time) (list []Asked) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.Asked {
		if !a.At.Before(from) && a.At.Before(to) {
			list = append(list, a)
		}
	}
	return list
}

// End ends it.
func (t *Traffic) End() {
	close(t.stop)
	t.all.Wait()
}

// ZoneOf gives the zone of a controller.
func (f *Fleet) ZoneOf(k int) string { return fmt.Sprint("z", k%max(1, f.Plan.Zones)) }

// CutZone has all engines of a zone out of reach, or in reach again.
func (f *Fleet) CutZone(zone string, cut bool) {
	for _, e := range f.Engines {
		if e.Zone == zone {
			e.Cut(cut)
		}
	}
}

// CutZoneForSome has all engines of a zone out of reach for the controllers of Plan.Seconds, or in reach again.
func (f *Fleet) CutZoneForSome(zone string, cut bool) {
	for _, e := range f.Engines {
		if e.Zone == zone {
			e.CutSecond(cut)
		}
	}
}

// LoseList ends the list of engines.
func (f *Fleet) LoseList() { f.list.Stop() }

// ZoneStates gives how a controller has all zones, and the number of the plan.
func (f *Fleet) ZoneStates(k int) (states map[string]string, number float64) {
	a, err := f.Ask(k, "zones", nil)
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

// Agreed waits until all that run have a zone in one of some states, and gives the time it took.
func (f *Fleet) Agreed(most time.Duration, zone string, wanted ...string) (time.Duration, error) {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		why := ""
		for k, c := range f.Controllers {
			if !c.Up() {
				continue
			}
			if s, _ := f.ZoneStates(k); !slices.Contains(wanted, s[zone]) {
				why = fmt.Sprintf("%s has %s as %q", c.Name, zone, s[zone])
			}
		}
		if took := time.Since(began); why == "" {
			return took, nil
		} else if took > most {
			return took, fmt.Errorf("not agreed within %v on %s %v: %s (seed %d)", most, zone, wanted, why, f.Plan.Seed)
		}
	}
}

// Spilled counts runs of traffic by whether they were in the zone of their controller, of those that began in a span of time.
func (f *Fleet) Spilled(tag string, from, to time.Time) (near, far int) {
	zone := map[string]string{}
	for _, e := range f.Engines {
		zone[e.Name] = e.Zone
	}
	for _, r := range f.Memory.Runs() {
		parts := strings.Split(r.ID, "-")
		if parts[0] != tag || len(parts) != 4 || r.At.Before(from) || !r.At.Before(to) {
			continue
		}
		var k int
		_, _ = fmt.Sscan(parts[1], &k)
		if zone[r.Executor] == f.ZoneOf(k) {
			near++
		} else {
			far++
		}
	}
	return near, far
}

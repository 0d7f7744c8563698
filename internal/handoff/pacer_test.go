package handoff

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// simulateAdoption plays adoption before endpoints that run so many requests at a time; others wait. Beside it, own requests come steadily.
// It returns the mean number of adoptions in flight, and how many of 1,000 own requests took longer than 1.2 times the 99th percentile before.
func simulateAdoption(concurrency float64, ownRequests bool, beforeMS int) (inFlight float64, late float64) {
	chance := rand.New(rand.NewPCG(3, 4))
	p := &pacer{maxInFlight: 64, started: map[string]pacedRequest{}, baselines: make([]durations, 2)}
	running := map[string]float64{} // ends of requests
	var sum, samples, total, slow float64
	number := 0
	duration := func() float64 { // the work, and the wait for an endpoint
		return (8 + 4*chance.Float64()) * max(1, float64(len(running))/concurrency)
	}
	start := func(now float64, class int) {
		id := fmt.Sprint(class, "-", number)
		number++
		p.start(now, id, class, class == 1)
		running[id] = now + duration()
	}
	before := float64(beforeMS)
	for now := 0.0; now < before+20_000; now++ {
		for id, end := range running {
			if now < end {
				continue
			}
			delete(running, id)
			if request, timed := p.started[id]; timed && request.class == 0 && p.adopting && now > before+5000 {
				total++
				if now-request.at > 1.2*12 {
					slow++
				}
			}
			p.finish(now, id, true)
		}
		if ownRequests && int(now)%4 == 0 {
			start(now, 0)
		}
		if int(now)%100 == 0 {
			p.tick(now, now >= before)
		}
		if now < before {
			continue
		}
		adopted := 0
		for id := range running {
			if id[0] == '1' {
				adopted++
			}
		}
		for ; adopted < int(p.limit); adopted++ {
			start(now, 1)
		}
		if now > before+5000 {
			sum += float64(adopted)
			samples++
		}
	}
	return sum / samples, 1000 * slow / max(1, total)
}

func TestPacer_AdoptsWithoutSlowingOwnRequests(t *testing.T) {
	free, late := simulateAdoption(1000, true, 5000)
	assert.Greater(t, free, 55.0, "nothing slows down")
	assert.Less(t, late, 10.0)
	tight, late := simulateAdoption(24, true, 5000)
	assert.Less(t, tight, 26.0, "own requests take longer")
	assert.Greater(t, tight, 8.0, "the capacity is used")
	assert.Less(t, late, 60.0)
	alone, _ := simulateAdoption(24, false, 5000)
	assert.Less(t, alone, 36.0, "without clients of its own, by what it adopts")
	assert.Greater(t, alone, 12.0)
}

// What is timed is bounded, and forgotten with the request, however that ends.
func TestPacer_ForgetsEndedRequests(t *testing.T) {
	p := &pacer{maxInFlight: 64, started: map[string]pacedRequest{}, baselines: make([]durations, 1)}
	for k := range 3 * paceMaxTracked {
		p.start(0, fmt.Sprint(k), 0, true)
	}
	assert.Len(t, p.started, paceMaxTracked)
	for k := range 3 * paceMaxTracked {
		p.finish(1, fmt.Sprint(k), k%2 == 0)
	}
	assert.Empty(t, p.started)
	c := newCluster(t, 6, 2, nil)
	c.arrive(0, "keyed", "a", "m")
	c.arrive(1, "keyed", "b", "m") // it waits, and its client leaves
	c.step(1, &Event{Kind: ClientLeft, ID: "b"})
	c.arrive(0, "keyed", "c", "n")
	c.attempt(0, "c")
	c.finish(0, "a", Succeeded, "rows")
	c.finish(0, "c", Failed, "")
	c.tick(3000)
	for k := range c.managers {
		assert.Empty(t, c.managers[k].pacer.started, k)
	}
}

package handoff

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// simulateAdoption runs a pacer against simulated endpoints that slow down in proportion once more than concurrency
// requests are in flight. Adoption begins after beforeMS; with ownRequests, the controller's own requests arrive at a
// steady rate all the time. It returns the mean number of adoptions in flight, and how many of 1,000 own requests took
// longer than 1.2 times the longest duration without load. Both exclude the first five seconds of adoption.
func simulateAdoption(concurrency float64, ownRequests bool, beforeMS int) (inFlight, latePerThousand float64) {
	random := rand.New(rand.NewPCG(3, 4))
	adoptionPacer := &pacer{maxInFlight: 64, started: map[string]timedRequest{}, baselines: make([]durationBaseline, 2)}
	running := map[string]float64{} // end times by request id
	var adoptedSum, samples, ownEnded, ownLate float64
	nextID := 0
	duration := func() float64 { // in ms: 8 to 12, longer in proportion to the excess load
		return (8 + 4*random.Float64()) * max(1, float64(len(running))/concurrency)
	}
	start := func(now float64, class int) { // class 0: own requests, class 1: adopted ones
		id := fmt.Sprint(class, "-", nextID)
		nextID++
		adoptionPacer.start(now, id, class, class == 1)
		running[id] = now + duration()
	}
	before := float64(beforeMS)
	for now := 0.0; now < before+20_000; now++ {
		for id, end := range running {
			if now < end {
				continue
			}
			delete(running, id)
			request, timed := adoptionPacer.started[id]
			if timed && request.class == 0 && adoptionPacer.adopting && now > before+5000 {
				ownEnded++
				if now-request.startedAt > 1.2*12 {
					ownLate++
				}
			}
			adoptionPacer.finish(now, id, true)
		}
		if ownRequests && int(now)%4 == 0 {
			start(now, 0)
		}
		if int(now)%100 == 0 {
			adoptionPacer.tick(now, now >= before)
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
		for ; adopted < int(adoptionPacer.limit); adopted++ {
			start(now, 1)
		}
		if now > before+5000 {
			adoptedSum += float64(adopted)
			samples++
		}
	}
	return adoptedSum / samples, 1000 * ownLate / max(1, ownEnded)
}

// Guards against adoption that slows down a controller's own requests, and against adoption that leaves capacity
// unused.
func TestPacer_AdoptsWithoutSlowingOwnRequests(t *testing.T) {
	unlimited, late := simulateAdoption(1000, true, 5000)
	assert.Greater(t, unlimited, 55.0, "adoptions in flight with spare capacity")
	assert.Less(t, late, 10.0, "late own requests with spare capacity")
	limited, late := simulateAdoption(24, true, 5000)
	assert.Less(t, limited, 26.0, "adoptions in flight when they slow down own requests")
	assert.Greater(t, limited, 8.0, "adoptions in flight while there is capacity")
	assert.Less(t, late, 60.0, "late own requests with little capacity")
	alone, _ := simulateAdoption(24, false, 5000)
	assert.Less(t, alone, 36.0, "adoptions in flight without own requests, above capacity")
	assert.Greater(t, alone, 12.0, "adoptions in flight without own requests, below capacity")
}

// Guards against unbounded memory for timed requests, and against entries that outlive their request.
func TestPacer_ForgetsEndedRequests(t *testing.T) {
	adoptionPacer := &pacer{maxInFlight: 64, started: map[string]timedRequest{}, baselines: make([]durationBaseline, 1)}
	for k := range 3 * paceMaxTracked {
		adoptionPacer.start(0, fmt.Sprint(k), 0, true)
	}
	assert.Len(t, adoptionPacer.started, paceMaxTracked, "timed requests in flight")
	for k := range 3 * paceMaxTracked {
		adoptionPacer.finish(1, fmt.Sprint(k), k%2 == 0)
	}
	assert.Empty(t, adoptionPacer.started)
	c := newCluster(t, 6, 2, nil)
	c.submitRequest(0, "keyed", "a", "m")
	c.submitRequest(1, "keyed", "b", "m") // waits for the request of the same key until its client leaves
	c.step(1, &Event{Kind: ClientLeft, ID: "b"})
	c.submitRequest(0, "keyed", "c", "n")
	c.startAttempt(0, "c")
	c.finishRequest(0, "a", Succeeded, "rows")
	c.finishRequest(0, "c", Failed, "")
	c.tick(3000)
	for k := range c.managers {
		assert.Empty(t, c.managers[k].pacer.started, "timed requests at n%d", k)
	}
}

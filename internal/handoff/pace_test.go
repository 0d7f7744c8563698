package handoff

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// paced plays adoption before engines that do so many at a time, and others wait; beside it, own searches come steadily. It gives the
// middle of how many were in hand, and how many of the own ones took longer than 1.2 times the 99th percentile before, of 1,000.
func paced(at float64, own bool, before int) (inHand float64, late float64) {
	chance := rand.New(rand.NewPCG(3, 4))
	p := &pace{most: 64, began: map[string]begun{}, usual: make([]times, 2)}
	out := map[string]float64{} // ends of what is under way
	var sum, n, total, slow float64
	n1 := 0
	took := func() float64 { // the work, and what waits for a place
		return (8 + 4*chance.Float64()) * max(1, float64(len(out))/at)
	}
	start := func(now float64, of int) {
		id := fmt.Sprint(of, "-", n1)
		n1++
		p.opens(now, id, of, of == 1)
		out[id] = now + took()
	}
	for now := 0.0; now < float64(before)+20_000; now++ {
		for id, end := range out {
			if now < end {
				continue
			}
			delete(out, id)
			if b, known := p.began[id]; known && b.of == 0 && p.under && now > float64(before)+5000 {
				if total++; now-b.at > 1.2*12 {
					slow++
				}
			}
			p.ended(now, id, true)
		}
		if own && int(now)%4 == 0 {
			start(now, 0)
		}
		if now >= float64(before) {
			if int(now)%100 == 0 {
				p.tick(now, true)
			}
			adopted := 0
			for id := range out {
				if id[0] == '1' {
					adopted++
				}
			}
			for ; adopted < int(p.room); adopted++ {
				start(now, 1)
			}
			if now > float64(before)+5000 {
				sum, n = sum+float64(adopted), n+1
			}
		} else if int(now)%100 == 0 {
			p.tick(now, false)
		}
	}
	return sum / n, 1000 * slow / max(1, total)
}

func TestAdoptionGoesAsFastAsOthersDoNotMind(t *testing.T) {
	free, late := paced(1000, true, 5000)
	assert.Greater(t, free, 55.0, "nobody minds")
	assert.Less(t, late, 10.0)
	tight, late := paced(24, true, 5000)
	assert.Less(t, tight, 26.0, "own searches take longer")
	assert.Greater(t, tight, 8.0, "the room is used")
	assert.Less(t, late, 60.0)
	alone, _ := paced(24, false, 5000)
	assert.Less(t, alone, 36.0, "without clients of its own, by what it adopts")
	assert.Greater(t, alone, 12.0)
}

// What is looked at is bounded, and ends with the search, however that ends.
func TestPaceKeepsNothing(t *testing.T) {
	p := &pace{most: 64, began: map[string]begun{}, usual: make([]times, 1)}
	for k := range 3 * paceOpen {
		p.opens(0, fmt.Sprint(k), 0, true)
	}
	assert.Len(t, p.began, paceOpen)
	for k := range 3 * paceOpen {
		p.ended(1, fmt.Sprint(k), k%2 == 0)
	}
	assert.Empty(t, p.began)
	w := newWorld(t, 6, 2, nil)
	w.arrive(0, "mark", "a", "m")
	w.arrive(1, "mark", "b", "m") // it waits, and its client leaves
	w.step(1, &Event{Kind: ClientLeft, ID: "b"})
	w.arrive(0, "mark", "c", "n")
	w.shoot(0, "c")
	w.end(0, "a", Succeeded, "rows")
	w.end(0, "c", Failed, "")
	w.tick(3000)
	for k := range w.ends {
		assert.Empty(t, w.ends[k].pace.began, k)
	}
}

package chaostest

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"liftshift/internal/testservers"
)

// Asked is one search as its client saw it.
type SentRequest struct {
	ID, IdempotencyKey, Class string
	Controller                int
	At                        time.Time
	Latency                   time.Duration
	Result                    string // handled, denied, written off, cut off
}

// History is what all clients saw.
type History struct {
	mu       sync.Mutex
	requests []SentRequest
}

// List gives it so far.
func (h *History) List() []SentRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]SentRequest(nil), h.requests...)
}

func (h *History) add(a SentRequest) {
	h.mu.Lock()
	h.requests = append(h.requests, a)
	h.mu.Unlock()
}

// StartLoad has clients search, each at a controller of its own, so that one which stands still holds up its own clients alone, until the
// returned call ends them.
func (cl *Cluster) StartLoad(clients int, pause time.Duration) (*History, func()) {
	h, stop := &History{}, make(chan struct{})
	var all sync.WaitGroup
	var number atomic.Uint64
	for w := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			conns := make([]*testservers.Client, len(cl.Controllers))
			defer func() {
				for _, c := range conns {
					if c != nil {
						c.Close()
					}
				}
			}()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				cl.submit(h, conns, w%len(cl.Controllers), number.Add(1))
			}
		}()
	}
	var once sync.Once
	return h, func() { once.Do(func() { close(stop) }); all.Wait() }
}

// submit has one search made. What is cut off is not sent again: whether it ran is for the engines to say.
func (cl *Cluster) submit(h *History, conns []*testservers.Client, k int, number uint64) {
	a := SentRequest{ID: fmt.Sprintf("%016x", number), Class: []string{"look", "mark", "once"}[number%3], Controller: k, At: time.Now()}
	if a.Class == "mark" {
		a.IdempotencyKey = fmt.Sprintf("m%015x", number)
	}
	if conns[k] == nil {
		c, err := testservers.Dial(cl.Controllers[k].ClientAddress, 50*time.Millisecond)
		if err != nil {
			return // nobody there: nothing was asked
		}
		conns[k] = c
	}
	answer, err := conns[k].Submit(a.Class, a.ID, a.IdempotencyKey, 2*time.Second)
	a.Latency = time.Since(a.At)
	switch {
	case err != nil:
		a.Result = "cut off"
		conns[k].Close()
		conns[k] = nil
	case answer.Code == 0:
		a.Result = "handled"
	case answer.Code == testservers.CodeRejected:
		a.Result = "denied"
	default:
		a.Result = "written off"
	}
	h.add(a)
}

// Check holds what clients saw against what engines ran and gives what is wrong: an effect twice, an answer for what never ran, a
// denial of what did, or more further shots than the ration of all controllers allows.
func Check(list []SentRequest, runs []testservers.Run, controllers int) (wrong []string) {
	byID, byMark := map[string]int{}, map[string]int{}
	for _, r := range runs {
		byID[r.ID]++
		if r.IdempotencyKey != "" {
			byMark[r.IdempotencyKey]++
		}
	}
	seen, further := map[string]bool{}, 0
	for _, a := range list {
		ran := byID[a.ID]
		further += max(0, ran-1)
		switch {
		case seen[a.ID]:
			wrong = append(wrong, fmt.Sprintf("search %s has two answers", a.ID))
		case a.Class == "once" && ran > 1, a.IdempotencyKey != "" && byMark[a.IdempotencyKey] > 1:
			wrong = append(wrong, fmt.Sprintf("%s search %s ran %d times", a.Class, a.ID, max(ran, byMark[a.IdempotencyKey])))
		case a.Result == "handled" && ran == 0:
			wrong = append(wrong, fmt.Sprintf("search %s is handled and never ran", a.ID))
		case a.Result == "denied" && ran > 0 && a.Class == "once":
			wrong = append(wrong, fmt.Sprintf("search %s is denied, ran, and may not run again", a.ID))
		}
		seen[a.ID] = true
	}
	if most := 0.1*float64(len(list)) + 3*float64(controllers); float64(further) > most {
		wrong = append(wrong, fmt.Sprintf("%d further shots ran, past the ration of %.0f", further, most))
	}
	return wrong
}

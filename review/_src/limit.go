package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["limit"] = playLimit }

const (
	limitMemoryMB  = 64   // the pages: 32 to 192
	limitBad       = 12   // bad clients
	limitOpen      = 32   // requests open on a connection; the protocol's limit
	limitSent      = 3000 // requests of a bad client at most
	limitBursts    = 50
	limitBurst     = 8 // requests of a usual client in one write
	limitPause     = 500 * time.Millisecond
	limitStatement = 4000 // bytes of a usual client's statement
	limitUsual     = 4    // usual clients
)

// pipelined is a request of a usual client.
type pipelined struct {
	number int
	id     string
	sent   time.Time
	until  time.Time // half a second after its time is up
}

func newPipelined(number int, r call) pipelined {
	now := time.Now()
	return pipelined{number, r.id, now, now.Add(r.timeout + 500*time.Millisecond)}
}

// usualClient keeps its connection, with a load open on it, and sends some lookups at a time.
type usualClient struct {
	*client
	requests []pipelined
}

// playLimit has bad clients send hundreds of requests at once, again as soon as they are turned away. Each request of the
// usual clients must get its answer.
func playLimit(rec *record, trouble bool) (bool, error) {
	var executors []*executor
	for k := range 2 {
		executors = append(executors, &executor{
			name: fmt.Sprintf("s-0000000%d", k+1), kind: "type-a", zone: "kurume-1", progressEvery: 500 * time.Millisecond,
			work:        map[string]time.Duration{"load": 2500 * time.Millisecond, "lookup": 150 * time.Millisecond},
			dedupWindow: 20 * time.Second,
		})
	}
	d, err := newDeployment(rec, plan{
		executors: executors, controllers: 2, settings: officeSettings(), memoryMB: limitMemoryMB, peers: true,
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	listen := d.controllers[0].listen
	stop := make(chan struct{})
	var running, playing sync.WaitGroup
	if trouble {
		for k := range limitBad {
			running.Add(1)
			go func() {
				defer running.Done()
				floodRequests(listen, k, stop)
			}()
		}
		rec.note("%d bad clients send up to %d requests at once each", limitBad, limitOpen)
	}
	usual := make([]*usualClient, limitUsual)
	for k := range usual {
		conn, err := dial(fmt.Sprint("usual-", k), listen, rec)
		if err != nil {
			return false, err
		}
		defer conn.close()
		usual[k] = &usualClient{client: conn}
		playing.Add(1)
		go func() {
			defer playing.Done()
			usual[k].play()
		}()
	}
	playing.Wait()
	close(stop)
	running.Wait()
	broken := false
	for _, u := range usual {
		broken = u.check() || broken
	}
	return broken, nil
}

// floodRequests keeps a connection full of loads with long statements, and sends again what is turned away. The number
// of requests is bounded.
func floodRequests(listen string, k int, stop chan struct{}) {
	sent := 0
	for sent < limitSent {
		conn, err := dial("bad", listen, nil)
		if err != nil {
			return
		}
		var open []int
		for conn.over() == nil && sent < limitSent {
			for len(open) < limitOpen && sent < limitSent {
				size := 2000 + (sent*7919+k*104729)%42000
				statement := fmt.Sprintf("insert into jobs_%d.done values (%s)", sent%9, strings.Repeat("x", size))
				open = append(open, conn.submit(call{
					id: newID(8), class: "load", key: newID(16), statement: statement, timeout: 20 * time.Second,
					workMS: 5000, memoryMB: 96,
				}))
				sent++
			}
			var still []int
			for _, number := range open {
				if conn.count(number) == 0 {
					still = append(still, number)
				}
			}
			open = still
			select {
			case <-stop:
				conn.close()
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		conn.close()
	}
}

// play sends the client's requests until its connection ends.
func (u *usualClient) play() {
	for burst := range limitBursts {
		if u.over() != nil {
			return
		}
		if burst%8 == 0 {
			u.sendLoad()
		}
		u.sendBurst()
		time.Sleep(limitPause)
	}
	for _, r := range u.requests { // until each has an answer, or its time is up
		u.wait(r.number, r.until)
	}
}

// sendLoad sends a load.
func (u *usualClient) sendLoad() {
	r := usualCall("load", 20*time.Second)
	u.requests = append(u.requests, newPipelined(u.submit(r), r))
}

// sendBurst sends lookups in one write, unless more would be open on the connection than the protocol allows.
func (u *usualClient) sendBurst() {
	open := 0
	for _, r := range u.requests {
		if u.count(r.number) == 0 {
			open++
		}
	}
	if open+limitBurst > limitOpen {
		return
	}
	var calls []call
	for range limitBurst {
		calls = append(calls, usualCall("lookup", 5*time.Second))
	}
	for k, number := range u.submitAll(calls) {
		u.requests = append(u.requests, newPipelined(number, calls[k]))
	}
}

// usualCall returns a request with a statement of some kilobytes.
func usualCall(class string, timeout time.Duration) call {
	r := call{
		id: newID(8), class: class, timeout: timeout, workMS: 100, memoryMB: 16,
		statement: "select * from assets_3.models where name in (" + strings.Repeat("'a',", limitStatement/4) + "'b')",
	}
	if class == "load" {
		r.key, r.workMS, r.memoryMB = newID(16), 5000, 96
		r.statement = "insert into jobs_9.done values ('" + strings.Repeat("x", limitStatement) + "')"
	}
	return r
}

// check looks for requests that have got no answer by their time, or two. A request may go without one where its
// connection was ended with nothing open on it: the client sends it again then.
func (u *usualClient) check() (broken bool) {
	words := map[string]int{}
	ended, wasOpen := u.endedAt(), false
	for _, r := range u.requests {
		got := u.wait(r.number, time.Now())
		words[got.word()]++
		if got.word() == "failed" && ended.Sub(got.at) < 50*time.Millisecond {
			wasOpen = true // it was open, and failed as the connection ended
		}
		if u.count(r.number) > 1 {
			u.record.note("broken: %s of %s has %d answers", r.id, u.name, u.count(r.number))
			broken = true
		}
	}
	u.record.note("%s: %d requests, answers %v, connection: %v", u.name, len(u.requests), words, u.over())
	for _, r := range u.requests {
		if u.count(r.number) > 0 || r.sent.After(ended) || !wasOpen && r.until.After(ended) {
			continue
		}
		u.record.note("broken: %s of %s, sent %.1f ms before the end of its connection or its time, has no answer",
			r.id, u.name, float64(ended.Sub(r.sent).Microseconds())/1000)
		broken = true
	}
	return broken
}

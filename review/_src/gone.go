package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["gone"] = playGone }

const (
	goneRounds = 5
	goneStall  = 1700 * time.Millisecond // the pages: 1,500 to 2,000 ms
	goneSlack  = 150 * time.Millisecond  // 0.1 s, and the 50 ms by which each limit is longer on sockets
	goneLoads  = 14                      // of each round, more than the executors' threads take at once
	goneWork   = 2500 * time.Millisecond // of a load; the pages: 3,700 to 7,600 ms of work on 2 threads
)

// waiting is a load, with the client that sent it.
type waiting struct {
	client *client
	id     string
	number int
}

// playGone stops a controller for a moment while loads wait in it. Meanwhile their clients leave and the executors
// finish what they run. No attempt at a load may begin more than 0.1 s after its client has left.
func playGone(rec *record, trouble bool) (bool, error) {
	var executors []*executor
	for k := range 2 {
		executors = append(executors, &executor{
			name: fmt.Sprintf("s-0000000%d", k+1), kind: "type-a", zone: "kurume-1", progressEvery: 500 * time.Millisecond,
			work: map[string]time.Duration{"load": goneWork}, dedupWindow: 20 * time.Second,
		})
	}
	d, err := newDeployment(rec, plan{
		executors: executors, controllers: 2, settings: officeSettings(), memoryMB: 192, peers: true,
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
	left := map[string]time.Time{} // by request: when its client left
	for round := range goneRounds {
		if err := d.playGoneRound(round, trouble, left); err != nil {
			return false, err
		}
	}
	late := 0
	for _, a := range d.fleet.list() {
		if at, gone := left[a.id]; gone && a.at.Sub(at) > goneSlack {
			late++
			rec.note("broken: the load %s was sent %.3f s after its client had left", a.id, a.at.Sub(at).Seconds())
		}
	}
	rec.note("%d clients left while their loads waited, %d of these loads were sent later", len(left), late)
	if len(left) == 0 {
		return false, fmt.Errorf("no load waited in the controller")
	}
	return late > 0, nil
}

// playGoneRound sends the first controller more loads than it sends on at once, and has the clients of those that wait
// leave: every other one closes its connection, the others send giveUp.
func (d *deployment) playGoneRound(round int, trouble bool, left map[string]time.Time) error {
	c := d.controllers[0]
	var loads []waiting
	for k := range goneLoads {
		conn, err := dial(fmt.Sprintf("%d-%d", round, k), c.listen, d.record)
		if err != nil {
			return err
		}
		defer conn.close()
		id := newID(8)
		number := conn.submit(call{
			id: id, class: "load", key: newID(16), statement: fmt.Sprintf("insert into jobs_%d.done", 100*round+k),
			timeout: 20 * time.Second, workMS: 2 * float64(goneWork.Milliseconds()), memoryMB: 96,
		})
		loads = append(loads, waiting{conn, id, number})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(goneWork - 900*time.Millisecond)
	sent := map[string]bool{}
	for _, a := range d.fleet.list() {
		sent[a.id] = true
	}
	if trouble {
		c.signal(syscall.SIGSTOP)
		d.record.note("round %d: %s is stopped for %v", round, c.name, goneStall)
	}
	stopped := time.Now()
	time.Sleep(200 * time.Millisecond)
	for k, load := range loads {
		if sent[load.id] {
			continue
		}
		if k%2 == 0 {
			load.client.close()
			d.record.add(time.Now(), "client %s: left, closed its connection", load.client.name)
		} else {
			load.client.send("giveUp", object{"req": load.id})
			d.record.add(time.Now(), "client %s: left, sent giveUp", load.client.name)
		}
		left[load.id] = time.Now()
	}
	time.Sleep(time.Until(stopped.Add(goneStall)))
	if trouble {
		c.signal(syscall.SIGCONT)
		d.record.note("round %d: %s goes on", round, c.name)
	}
	for _, load := range loads {
		if sent[load.id] && load.client.wait(load.number, time.Now().Add(15*time.Second)) == nil {
			return fmt.Errorf("the load %s has no answer", load.id)
		}
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

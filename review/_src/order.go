package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["order"] = playOrder }

const (
	orderRounds = 5
	orderLoads  = 4                       // of each round, on a connection each
	orderStall  = 1700 * time.Millisecond // the pages: 1,500 to 2,000 ms
	orderApart  = 300 * time.Millisecond  // between two loads
)

// playOrder stops a controller for a moment. Meanwhile loads with one key arrive, on a connection each and well apart.
// They must be sent in the order in which they arrived.
func playOrder(rec *record, trouble bool) (bool, error) {
	settings := officeSettings()
	settings["Classes"].([]object)[2]["OneAtATime"] = true // as in addis-records, which drops repeats for 15 s
	settings["Classes"].([]object)[2]["DedupWindow"] = 15 * second
	settings["Invariants"].(object)["KeyQuiet"] = 500000
	var executors []*executor
	for k := range 2 {
		executors = append(executors, &executor{
			name: fmt.Sprintf("s-0000000%d", k+1), kind: "type-a", zone: "kurume-1", progressEvery: 500 * time.Millisecond,
			work: map[string]time.Duration{"load": 300 * time.Millisecond}, dedupWindow: 15 * time.Second,
		})
	}
	d, err := newDeployment(rec, plan{executors: executors, controllers: 2, settings: settings, memoryMB: 192, peers: true})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	broken := false
	for round := range orderRounds {
		kept, err := d.playOrderRound(round, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || !kept
	}
	return broken, nil
}

// playOrderRound reports whether the loads of a round were sent in their order.
func (d *deployment) playOrderRound(round int, trouble bool) (kept bool, err error) {
	c := d.controllers[0]
	var clients []*client
	for k := range orderLoads {
		conn, err := dial(fmt.Sprintf("%d-%d", round, k), c.listen, d.record)
		if err != nil {
			return false, err
		}
		defer conn.close()
		conn.wait(conn.send("probe", object{}), time.Now().Add(time.Second))
		clients = append(clients, conn)
	}
	if trouble {
		c.signal(syscall.SIGSTOP)
		d.record.note("round %d: %s is stopped for %v", round, c.name, orderStall)
	}
	stopped := time.Now()
	time.Sleep(100 * time.Millisecond)
	var ids []string
	var numbers []int
	for k, conn := range clients {
		id := newID(8)
		ids = append(ids, id)
		numbers = append(numbers, conn.submit(call{
			id: id, class: "load", key: newID(16), subject: "91f03b7c55d20a64", timeout: 18 * time.Second, workMS: 600,
			memoryMB: 32, statement: fmt.Sprintf("insert into jobs_%d.done", k),
		}))
		time.Sleep(orderApart)
	}
	time.Sleep(time.Until(stopped.Add(orderStall)))
	c.signal(syscall.SIGCONT)
	for k, conn := range clients {
		if conn.wait(numbers[k], time.Now().Add(19*time.Second)) == nil {
			return false, fmt.Errorf("the load %s has no answer", ids[k])
		}
	}
	arrived := map[string]int{}
	for k, id := range ids {
		arrived[id] = k
	}
	var order []int
	kept = true
	for _, a := range d.fleet.list() {
		k, known := arrived[a.id]
		if !known {
			continue
		}
		kept = kept && (len(order) == 0 || order[len(order)-1] <= k)
		order = append(order, k)
	}
	if !kept {
		d.record.note("broken: the loads, numbered in the order of their arrival, were sent in the order %v", order)
	}
	return kept, nil
}

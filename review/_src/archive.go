package main

import (
	"fmt"
	"time"
)

// archiveExecutors returns executors of budapest-archive.
func archiveExecutors(count int, work map[string]time.Duration) (executors []*executor) {
	for k := range count {
		executors = append(executors, &executor{
			name: fmt.Sprintf("s-0000000%d", k+1), kind: "std-16", zone: "room-a", progressEvery: time.Second, work: work,
			reportField: "backlog",
		})
	}
	return executors
}

// newArchiveCluster starts controllers of budapest-archive that keep copies of each other's open requests, and waits
// until each of them serves ingests.
func newArchiveCluster(rec *record, controllers int, work map[string]time.Duration) (*deployment, error) {
	d, err := newDeployment(rec, plan{
		executors: archiveExecutors(2, work), controllers: controllers, settings: archiveSettings(), memoryMB: 192,
		peers: true, handoff: "  copies = 1\n",
	})
	if err != nil {
		return d, err
	}
	if err := d.startAll(); err != nil {
		return d, err
	}
	for _, c := range d.controllers {
		if err := d.waitServed(c, 40*time.Second); err != nil {
			return d, err
		}
	}
	return d, nil
}

// waitServed sends short ingests to a controller until one is served: until the cluster is formed they are refused.
func (d *deployment) waitServed(c *controller, within time.Duration) error {
	for start := time.Now(); time.Since(start) < within; time.Sleep(300 * time.Millisecond) {
		conn, err := dial("warm-up", c.listen, nil)
		if err != nil {
			continue
		}
		number := conn.submit(call{
			id: newID(8), class: "ingest", statement: "insert into nights_1.warmup", timeout: 25 * time.Second, workMS: 100,
			memoryMB: 8,
		})
		got := conn.wait(number, time.Now().Add(20*time.Second))
		conn.close()
		if got.word() == "served" {
			return nil
		}
	}
	return fmt.Errorf("%s serves no ingest within %v", c.name, within)
}

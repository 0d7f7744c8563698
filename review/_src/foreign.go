package main

import (
	"fmt"
	"time"
)

func init() { cases["foreign"] = playForeign }

const foreignRounds = 5

// playForeign has a bad client send the id of an open request with another statement, to another controller.
func playForeign(rec *record, trouble bool) (bool, error) {
	work := map[string]time.Duration{"ingest": 1500 * time.Millisecond}
	d, err := newArchiveCluster(rec, 3, work)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	broken := false
	for round := range foreignRounds {
		found, err := d.playForeignRound(round, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || found
	}
	return broken, nil
}

func (d *deployment) playForeignRound(round int, trouble bool) (broken bool, err error) {
	usual, err := dial(fmt.Sprintf("usual-%d", round), d.controllers[0].listen, d.record)
	if err != nil {
		return false, err
	}
	defer usual.close()
	id := newID(8)
	statement := fmt.Sprintf("insert into nights_%d.batches select piszkes", round+2)
	number := usual.submit(call{
		id: id, class: "ingest", statement: statement, timeout: 22 * time.Second, workMS: 3000, memoryMB: 64,
	})
	time.Sleep(400 * time.Millisecond)
	var bad *client
	badNumber := 0
	if trouble {
		if bad, err = dial(fmt.Sprintf("bad-%d", round), d.controllers[1].listen, d.record); err != nil {
			return false, err
		}
		defer bad.close()
		badNumber = bad.submit(call{
			id: id, class: "ingest", statement: fmt.Sprintf("insert into nights_%d.batches select baja", round+2),
			timeout: 22 * time.Second, workMS: 3000, memoryMB: 64,
		})
	}
	got := usual.wait(number, time.Now().Add(24*time.Second))
	if got == nil {
		d.record.note("broken: the usual client's request %s has no answer", id)
		return true, nil
	}
	if want := rowsOf(id, statement); got.word() == "served" && got.rows() != want {
		d.record.note("broken: the usual client got %q for %q", got.rows(), statement)
		broken = true
	}
	if bad == nil {
		return broken, nil
	}
	reply := bad.wait(badNumber, time.Now().Add(8*time.Second))
	if reply.word() == "served" {
		d.record.note("broken: the bad client with the open id %s was served, with %q", id, reply.rows())
		return true, nil
	}
	return broken, nil
}

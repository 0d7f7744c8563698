package main

import (
	"fmt"
	"time"
)

func init() { cases["twice"] = playTwice }

const (
	twiceIngests = 14
	twiceDown    = 2 * time.Second        // how long the killed controller is away; the pages: 1.3 to 7.7 s
	twiceBackoff = 300 * time.Millisecond // of a client before it tries again
	twiceAfter   = 15 * time.Second       // how long the executors are watched after the last answer
)

// operation is what a client wants done once. Each of its tries is a request with an id of its own.
type operation struct {
	statement string
	client    *client
	number    int  // of the latest try on the client's connection
	sent      bool // an attempt had begun as the controller was killed, so that the client's new try is a risk of its own
}

// submitIngest sends a try of an operation to a controller.
func (o *operation) submitIngest(rec *record, name string, c *controller, timeout time.Duration) (err error) {
	if o.client, err = dial(name, c.listen, rec); err != nil {
		return err
	}
	o.number = o.client.submit(call{
		id: newID(8), class: "ingest", statement: o.statement, timeout: timeout, workMS: 3000, memoryMB: 64,
	})
	return nil
}

// playTwice kills a controller that holds ingests, some of which wait in it, and starts it again. The clients find it
// unreachable and send their ingests to another controller. No ingest that had waited may be carried out
// twice.
func playTwice(rec *record, trouble bool) (bool, error) {
	work := map[string]time.Duration{"ingest": 1500 * time.Millisecond}
	d, err := newArchiveCluster(rec, 3, work)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	first, second := d.controllers[0], d.controllers[1]
	operations := make([]*operation, twiceIngests)
	for k := range operations {
		o := &operation{statement: fmt.Sprintf("insert into nights_%d.batches select night %d", k+2, k)}
		operations[k] = o
		if err := o.submitIngest(rec, fmt.Sprint("ingest-", k), first, 24*time.Second); err != nil {
			return false, err
		}
		defer func() { o.client.close() }()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		if err := d.killAndRepeat(first, second, operations); err != nil {
			return false, err
		}
	}
	answers := map[string]int{}
	for _, o := range operations {
		answers[o.client.wait(o.number, time.Now().Add(25*time.Second)).word()]++
	}
	rec.note("answers to the latest tries: %v", answers)
	time.Sleep(twiceAfter)
	done := map[string]int{}
	for _, a := range d.fleet.list() {
		if a.end == "done" {
			done[a.statement]++
		}
	}
	broken := false
	for _, o := range operations {
		if done[o.statement] > 1 && !o.sent {
			broken = true
			rec.note("broken: %q was carried out %d times", o.statement, done[o.statement])
		}
	}
	return broken, nil
}

// killAndRepeat kills the first controller. The clients lose their connections, can't reach it again, and send their
// ingests to the second one, as new requests. Then the first controller is started again.
func (d *deployment) killAndRepeat(first, second *controller, operations []*operation) error {
	d.record.note("%s is killed", first.name)
	killed := time.Now()
	first.kill()
	waited := len(operations)
	for _, o := range operations {
		for _, a := range d.fleet.list() {
			o.sent = o.sent || a.statement == o.statement
		}
		if o.sent {
			waited--
		}
	}
	d.record.note("%d ingests had waited in it and had not been sent", waited)
	if waited == 0 {
		return fmt.Errorf("no ingest waited in %s", first.name)
	}
	for _, o := range operations {
		for o.client.over() == nil {
			time.Sleep(time.Millisecond)
		}
		o.client.close()
	}
	if again, err := dial("again", first.listen, nil); err == nil {
		again.close()
		return fmt.Errorf("%s is killed and can be reached", first.name)
	}
	time.Sleep(twiceBackoff)
	for k, o := range operations {
		if o.client.count(o.number) > 0 {
			continue // answered before the kill
		}
		if err := o.submitIngest(d.record, fmt.Sprintf("ingest-%d again", k), second, 22*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(killed.Add(twiceDown)))
	if err := first.start(); err != nil {
		return err
	}
	d.record.note("%s is started again", first.name)
	return nil
}

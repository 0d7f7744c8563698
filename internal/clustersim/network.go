package clustersim

import "liftshift/internal/membership"

// Network is the condition of the simulated network. Loss and Duplication are probabilities of a message.
type Network struct {
	MinDelayMS, MaxDelayMS float64
	Loss, Duplication      float64
	Blocked                func(from, to int) bool // nil: nothing is blocked
}

func (c *Cluster) delay() float64 {
	return c.Network.MinDelayMS + (c.Network.MaxDelayMS-c.Network.MinDelayMS)*c.random.Float64()
}

// reaches reports whether messages pass in one direction.
func (c *Cluster) reaches(from, to int) bool {
	return c.Network.Blocked == nil || !c.Network.Blocked(from, to)
}

// connected reports whether messages pass in both directions.
func (c *Cluster) connected(a, b int) bool { return c.reaches(a, b) && c.reaches(b, a) }

// receiver returns the running node that has an address.
func (c *Cluster) receiver(address string) (node int, found bool) {
	k, known := c.nodeByAddress[address]
	if !known || !c.Nodes[k].Up || c.Nodes[k].Address != address {
		return 0, false
	}
	return k, true
}

func (c *Cluster) countMessage(data []byte) {
	c.Messages++
	c.Bytes += uint64(len(data))
}

// sendDatagram sends a message that may be lost, duplicated and reordered.
func (c *Cluster) sendDatagram(from int, address string, data []byte) {
	c.countMessage(data)
	to, found := c.receiver(address)
	if !found || !c.reaches(from, to) {
		return
	}
	copies := 1
	if c.random.Float64() < c.Network.Duplication {
		copies = 2
	}
	ev := membership.Event{Kind: membership.DatagramReceived, From: c.Nodes[from].Address, Data: data}
	for range copies {
		if c.random.Float64() < c.Network.Loss {
			continue
		}
		if c.OnDatagram != nil {
			c.OnDatagram(from, to, data)
		}
		c.queue.schedule(c.Now+c.delay(), event{to: to, run: c.Nodes[to].run, from: from, ev: ev})
	}
}

// startExchange sends a request over a connection: nothing is lost on it, but both directions must pass.
func (c *Cluster) startExchange(from int, address string, data []byte) {
	to, found := c.receiver(address)
	if !found || !c.connected(from, to) {
		return
	}
	c.countMessage(data)
	ev := membership.Event{Kind: membership.ExchangeRequested, From: c.Nodes[from].Address, Data: data}
	c.queue.schedule(c.Now+2*c.delay(), event{to: to, run: c.Nodes[to].run, from: from, ev: ev})
}

// answerExchange sends the answer over the connection that a request came by.
func (c *Cluster) answerExchange(k, to int, data []byte) {
	if to < 0 || to >= len(c.Nodes) || !c.reaches(k, to) {
		return
	}
	c.countMessage(data)
	ev := membership.Event{Kind: membership.ExchangeAnswered, From: c.Nodes[k].Address, Data: data}
	c.queue.schedule(c.Now+c.delay(), event{to: to, run: c.Nodes[to].run, from: k, ev: ev})
}

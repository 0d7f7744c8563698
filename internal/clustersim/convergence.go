package clustersim

import "liftshift/internal/membership"

// Converged reports whether each running node takes exactly the running ones for alive, and suspects none of them.
func (c *Cluster) Converged() bool {
	running := 0
	for _, node := range c.Nodes {
		if node.Up {
			running++
		}
	}
	for _, node := range c.Nodes { // the cheap comparison first
		if node.Up && node.View.LivePeers() != running-1 {
			return false
		}
	}
	for _, node := range c.Nodes {
		if node.Up && !c.isAccurate(node.View) {
			return false
		}
	}
	return true
}

// isAccurate reports whether a view has each node as it is.
func (c *Cluster) isAccurate(view *membership.View) bool {
	for _, node := range c.Nodes {
		m, known := view.Find(node.Name)
		alive := known && m.State == membership.Alive
		if node.Up != alive {
			return false
		}
	}
	return true
}

// RunUntilConverged lets time pass in steps until the views have converged. It returns the time that took in milliseconds, or -1 after
// the timeout.
func (c *Cluster) RunUntilConverged(timeout, step float64) float64 {
	began := c.Now
	for c.Now < began+timeout {
		c.RunUntil(c.Now + step)
		if c.Converged() {
			return c.Now - began
		}
	}
	return -1
}

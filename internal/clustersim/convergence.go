package clustersim

import "liftshift/internal/membership"

// Converged reports whether the view of each running node has exactly the running nodes as alive, and suspects none
// of them.
func (c *Cluster) Converged() bool {
	running := 0
	for _, node := range c.Nodes {
		if node.Up {
			running++
		}
	}
	for _, node := range c.Nodes { // compare the counts first: it is cheaper
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

// isAccurate reports whether a view has exactly the running nodes as alive.
func (c *Cluster) isAccurate(view *membership.View) bool {
	for _, node := range c.Nodes {
		member, known := view.Find(node.Name)
		alive := known && member.State == membership.Alive
		if node.Up != alive {
			return false
		}
	}
	return true
}

// RunUntilConverged advances the simulation in steps until the views have converged. It returns the elapsed time, or
// -1 if the views have not converged within the timeout. All times are in milliseconds.
func (c *Cluster) RunUntilConverged(timeoutMS, stepMS float64) float64 {
	began := c.Now
	for c.Now < began+timeoutMS {
		c.RunUntil(c.Now + stepMS)
		if c.Converged() {
			return c.Now - began
		}
	}
	return -1
}

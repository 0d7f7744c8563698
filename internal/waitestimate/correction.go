package waitestimate

const (
	judgedSamples = 25    // estimates made under one correction, after which it is judged
	lowCoverage   = 0.92  // share of them within the estimate below which it lengthens
	highCoverage  = 0.97  // and past which it shortens
	lengthenBy    = 1.12  // a factor
	shortenBy     = 0.985 // far less, as an estimate that is too long does less harm
	maxCorrection = 8
	minCorrection = 0.5
)

// correction is a factor on estimates, and how those that were made under it held.
type correction struct {
	factor          float64
	epoch           uint32 // changes with the factor
	samples, within int
}

// observe takes in whether a wait was longer than the estimate made in an epoch. Estimates of earlier epochs tell nothing of the
// factor.
func (c *correction) observe(epoch uint32, exceeded bool) {
	if epoch != c.epoch {
		return
	}
	c.samples++
	if !exceeded {
		c.within++
	}
	if c.samples < judgedSamples {
		return
	}
	switch share := float64(c.within) / float64(c.samples); {
	case share < lowCoverage:
		c.factor = min(maxCorrection, c.factor*lengthenBy)
	case share > highCoverage:
		c.factor = max(minCorrection, c.factor*shortenBy)
	}
	c.epoch++
	c.samples, c.within = 0, 0
}

package waitestimate

const (
	samplesPerAdjustment = 25    // waits after which the factor is adjusted
	minCoverage          = 0.92  // share of waits within their estimate below which the factor grows
	maxCoverage          = 0.97  // share above which the factor shrinks
	lengthenFactor       = 1.12  // the factor grows by this
	shortenFactor        = 0.985 // the factor shrinks by this, slowly because a long estimate does less harm
	maxCorrection        = 8     // bounds of the factor
	minCorrection        = 0.5
)

// correction is a factor on estimates that is adjusted by the share of waits that stayed within them.
type correction struct {
	factor          float64
	epoch           uint32 // incremented when the factor is adjusted
	samples, within int    // waits in this epoch, and those within their estimate
}

// observe records whether a wait exceeded its estimate, which was made in the given epoch. It ignores estimates of
// earlier epochs, as they were made with another factor.
func (c *correction) observe(epoch uint32, exceeded bool) {
	if epoch != c.epoch {
		return
	}
	c.samples++
	if !exceeded {
		c.within++
	}
	if c.samples < samplesPerAdjustment {
		return
	}
	switch share := float64(c.within) / float64(c.samples); {
	case share < minCoverage:
		c.factor = min(maxCorrection, c.factor*lengthenFactor)
	case share > maxCoverage:
		c.factor = max(minCorrection, c.factor*shortenFactor)
	}
	c.epoch++
	c.samples, c.within = 0, 0
}

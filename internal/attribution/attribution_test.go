package attribution

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRules_TeamOf: the first source of the order that knows a team decides.
func TestRules_TeamOf(t *testing.T) {
	r := Rules{Teams: map[string]bool{"model": true, "render": true}, Classes: map[string]string{"report": "render"},
		Schemas: map[string]string{"jobs": "jobs-team"}}
	r.Addresses.Put(netip.MustParsePrefix("10.0.0.0/8"), "model")
	here, away := netip.MustParseAddr("10.1.1.1"), netip.MustParseAddr("192.0.2.1")
	for _, c := range []struct {
		order         []Source
		field         string
		from          netip.Addr
		class, schema string
		want          string
	}{
		{[]Source{Field, Address, Class, Schema}, "render", here, "look", "", "render"},
		{[]Source{Field, Address, Class, Schema}, "nobody", here, "report", "", "model"},
		{[]Source{Class, Address}, "model", here, "report", "", "render"},
		{[]Source{Field, Address, Class, Schema}, "", away, "look", "jobs", "jobs-team"},
		{[]Source{Field, Address, Class, Schema}, "", away, "look", "other", ""},
		{nil, "model", here, "report", "jobs", ""},
	} {
		r.Order = c.order
		assert.Equal(t, c.want, r.TeamOf(c.field, c.from, c.class, c.schema))
	}
	_, err := ParseOrder([]string{"field", "field"})
	assert.Error(t, err)
	_, err = ParseOrder([]string{"moon"})
	assert.ErrorContains(t, err, "moon")
	order, err := ParseOrder([]string{"schema", "field"})
	assert.NoError(t, err)
	assert.Equal(t, []Source{Schema, Field}, order)
}

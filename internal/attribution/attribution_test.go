package attribution

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRules_TeamOf checks that the first source in the order that has a team for the request decides.
func TestRules_TeamOf(t *testing.T) {
	rules := Rules{Teams: map[string]bool{"model": true, "render": true}, Classes: map[string]string{"report": "render"},
		Schemas: map[string]string{"jobs": "jobs-team"}}
	rules.Addresses.Put(netip.MustParsePrefix("10.0.0.0/8"), "model")
	listed, unlisted := netip.MustParseAddr("10.1.1.1"), netip.MustParseAddr("192.0.2.1")
	for _, c := range []struct {
		order         []Source
		field         string
		from          netip.Addr
		class, schema string
		want          string
	}{
		{[]Source{Field, Address, Class, Schema}, "render", listed, "look", "", "render"},
		{[]Source{Field, Address, Class, Schema}, "unknown", listed, "report", "", "model"},
		{[]Source{Class, Address}, "model", listed, "report", "", "render"},
		{[]Source{Field, Address, Class, Schema}, "", unlisted, "look", "jobs", "jobs-team"},
		{[]Source{Field, Address, Class, Schema}, "", unlisted, "look", "other", ""},
		{nil, "model", listed, "report", "jobs", ""},
	} {
		rules.Order = c.order
		assert.Equal(t, c.want, rules.TeamOf(c.field, c.from, c.class, c.schema), "%+v", c)
	}
}

// TestParseOrder_RejectsUnknownAndRepeatedSources checks the errors of ParseOrder, and a valid order.
func TestParseOrder_RejectsUnknownAndRepeatedSources(t *testing.T) {
	_, err := ParseOrder([]string{"field", "field"})
	assert.ErrorContains(t, err, `source "field" is listed twice`)
	_, err = ParseOrder([]string{"color"})
	assert.ErrorContains(t, err, `unknown source "color"`)
	order, err := ParseOrder([]string{"schema", "field"})
	assert.NoError(t, err)
	assert.Equal(t, []Source{Schema, Field}, order)
}

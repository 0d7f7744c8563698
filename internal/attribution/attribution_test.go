package attribution

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestWhoseASearchIs(t *testing.T) {
	r := Rules{Teams: map[string]bool{"model": true, "render": true}, Offerings: map[string]string{"report": "render"},
		Schemas: map[string]string{"jobs": "jobs-team"}}
	r.Addresses.Put(netip.MustParsePrefix("10.0.0.0/8"), "model")
	here, away := netip.MustParseAddr("10.1.1.1"), netip.MustParseAddr("192.0.2.1")
	for _, c := range []struct {
		order            []By
		field            string
		from             netip.Addr
		offering, schema string
		want             string
	}{
		{[]By{Field, Address, Offering, Schema}, "render", here, "look", "", "render"},
		{[]By{Field, Address, Offering, Schema}, "nobody", here, "report", "", "model"},
		{[]By{Offering, Address}, "model", here, "report", "", "render"},
		{[]By{Field, Address, Offering, Schema}, "", away, "look", "jobs", "jobs-team"},
		{[]By{Field, Address, Offering, Schema}, "", away, "look", "other", ""},
		{nil, "model", here, "report", "jobs", ""},
	} {
		r.Order = c.order
		assert.Equal(t, c.want, r.Of(c.field, c.from, c.offering, c.schema))
	}
	_, err := Check([]string{"field", "field"})
	assert.Error(t, err)
	_, err = Check([]string{"moon"})
	assert.ErrorContains(t, err, "moon")
	order, err := Check([]string{"schema", "field"})
	assert.NoError(t, err)
	assert.Equal(t, []By{Schema, Field}, order)
}

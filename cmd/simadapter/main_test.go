package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestServe_RepliesToEachBatch(t *testing.T) {
	in := "BEGIN_BATCH\tClock=0\tseq=7\n" +
		"ATTACH\tI=3\tNonce64=9\tSettings={}\n" +
		"EOF_BATCH\n" +
		"BEGIN_BATCH\tClock=1000\tseq=8\n" +
		"ARRIVAL\tI=3\tHandle=a\tTierClass=unknown\tDropDead=9000\n" +
		"STOP\tI=3\n" +
		"EOF_BATCH\n"
	want := "SLEEP\tI=3\tDelay=20000\tKeyBack=0\n" +
		"FINISHED\tseq=7\n" +
		"TURN_AWAY\tI=3\tHandle=a\n" +
		"FINISHED\tseq=8\n"
	var out bytes.Buffer
	assert.NoError(t, serve(strings.NewReader(in), &out))
	assert.Equal(t, want, out.String())
}

func TestServe_RejectsUnknownInstance(t *testing.T) {
	for _, line := range []string{"STOP\tI=3", "TIMER\tI=3"} {
		err := serve(strings.NewReader("BEGIN_BATCH\tClock=0\tseq=7\n"+line+"\nEOF_BATCH\n"), &bytes.Buffer{})
		assert.ErrorContains(t, err, "instance 3 is not running")
	}
}

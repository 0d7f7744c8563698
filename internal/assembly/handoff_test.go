package assembly

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/handoffnet"
	"liftshift/internal/operatorconfig"
	"liftshift/internal/settings"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// A reload gave the raised `remember` to the ledger alone: the copies of other controllers' requests expired by the one of
// the start, and keys ran again.
func TestReload_RetentionReachesHandoff(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operators.hcl")
	write := func(remember string) {
		text := "store {\n  directory = \"/d\"\n  remember = \"" + remember + "\"\n}\n"
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write("5s")
	file, err := operatorconfig.Read(path)
	require.NoError(t, err)
	clock, log := dispatch.NewClock(), testlog.Discard()
	loop := dispatch.New(clock, scheduler.New(1, scheduler.DefaultSettings()), log)
	handoffSettings := handoff.DefaultSettings()
	handoffSettings.KeyRetentionMS = file.Store.RetentionMS
	agent := handoffnet.New(handoff.Member{Name: "a", Incarnation: 1}, handoffSettings, 1, loop, clock, nil, log)
	x := &Extensions{file: file, loop: loop, log: log}
	x.handoff = &handoffExtension{extensions: x, agent: agent}
	go loop.Run()
	defer loop.Stop()
	retention := func() (ms float64) {
		loop.Call(func(float64) { ms = agent.Manager().KeyRetentionMS() })
		return ms
	}
	require.Equal(t, 5000.0, retention())
	write("10m")
	apply, err := x.Reload(&settings.Settings{})
	require.NoError(t, err)
	assert.Equal(t, 5000.0, retention(), "not in force yet")
	assert.Empty(t, apply(), "needs no restart")
	assert.Equal(t, 600_000.0, retention())
}

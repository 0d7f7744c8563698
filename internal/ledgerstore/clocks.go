package ledgerstore

import (
	"os"
	"strconv"
	"strings"
	"time"

	"liftshift/internal/ledger"
)

// ReadClocks reads the clocks of the machine. Where its uptime or its boot can't be read, both are left out, and the ledger takes windows
// for as short as they can be.
func ReadClocks() ledger.Clocks {
	clocks := ledger.Clocks{WallMS: float64(time.Now().UnixMicro()) / 1000}
	uptime, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return clocks
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return clocks
	}
	seconds, _, _ := strings.Cut(string(uptime), " ")
	if s, err := strconv.ParseFloat(seconds, 64); err == nil {
		clocks.UptimeMS, clocks.BootID = s*1000, strings.TrimSpace(string(boot))
	}
	return clocks
}

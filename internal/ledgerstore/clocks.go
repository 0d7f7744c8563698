package ledgerstore

import (
	"os"
	"strconv"
	"strings"
	"time"

	"liftshift/internal/ledger"
)

// ReadClocks reads the clocks of the machine. If the uptime or the boot ID cannot be read, both stay unset: the ledger
// then cannot tell exactly how long the controller was down.
func ReadClocks() ledger.Clocks {
	clocks := ledger.Clocks{WallMS: float64(time.Now().UnixMicro()) / 1000}
	uptime, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return clocks
	}
	bootID, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return clocks
	}
	firstField, _, _ := strings.Cut(string(uptime), " ")
	if seconds, err := strconv.ParseFloat(firstField, 64); err == nil {
		clocks.UptimeMS, clocks.BootID = seconds*1000, strings.TrimSpace(string(bootID))
	}
	return clocks
}

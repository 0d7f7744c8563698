package testservers

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and portCount keep clear of the ephemeral ports, which an outgoing connection could take first.
	firstPort       = 10000
	portCount       = 20000
	addressAttempts = 32
)

var lastAddressNumber atomic.Uint32

// FreeAddress returns a loopback address for a program that is started next. No other process hands out the address,
// and nothing listens at it.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	var err error
	for range addressAttempts {
		number := lastAddressNumber.Add(1)
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, 1+pid&255%254, firstPort+number%portCount)
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("no free loopback address in %d attempts: %w", addressAttempts, err)
}

package testservers

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort       = 10000 // below the ports that systems give to outgoing connections, which could take one before it is used
	portCount       = 20000
	addressAttempts = 32
)

var nextAddress atomic.Uint32

// FreeAddress returns a loopback address that only this process hands out and that nobody listens at, for a program that is started next.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	err := errors.New("no free address")
	for range addressAttempts {
		number := nextAddress.Add(1)
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, 1+pid&255%254, firstPort+number%portCount)
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

package testservers

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort = 10000 // below the ports that systems give to those that call: none of these is taken before it is used
	portCount = 20000
)

var nextAddress atomic.Uint32

// FreeAddress gives an address of the loopback that is this process's alone and that nobody listens at, for a program that is started next.
func FreeAddress() (at string, err error) {
	p := os.Getpid()
	for range 32 {
		n := nextAddress.Add(1)
		at = fmt.Sprintf("127.%d.%d.%d:%d", 64+p>>16&63, p>>8&255, 1+p&255%254, firstPort+n%portCount)
		l, wrong := net.Listen("tcp", at)
		if err = wrong; err == nil {
			return at, l.Close()
		}
	}
	return "", err
}

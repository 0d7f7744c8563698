package jsonrpc

import (
	"errors"
	"net"
	"os"
	"time"

	"liftshift/internal/netconn"
)

const (
	acceptRetryInterval = 50 * time.Millisecond // after a shortage of descriptors or a transient error
	acceptErrorPause    = time.Millisecond      // after an error that concerns a single connection
	slotPollInterval    = 20 * time.Millisecond // between attempts to evict an idle connection
)

// Run accepts connections until Drain or Stop. When all slots are taken, it closes the connection that has been idle
// longest. When no connection is idle or no file descriptor is left, it pauses accepting.
func (s *Server) Run() {
	for {
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // Drain sets the deadline
			_ = s.listener.Close()
			return
		}
		if err != nil {
			s.pauseAccept(err)
			continue
		}
		hasSlot := s.acquireSlot()
		s.Accepted.Add(1)
		c := s.newConn(socket, hasSlot)
		s.mu.Lock()
		s.connections[c] = struct{}{}
		if s.draining { // Drain did not see this connection
			c.drain()
		}
		s.mu.Unlock()
		go c.serve()
	}
}

// pauseAccept waits after a failed accept: longer after a shortage of descriptors or a transient error than after
// others.
func (s *Server) pauseAccept(err error) {
	if s.AcceptPauses.Add(1) == 1 {
		s.log.WithField("error", err).Warn("client server: accepting pauses")
	}
	if netconn.IsOutOfDescriptors(err) {
		s.evictIdle()
	}
	if netconn.IsOutOfDescriptors(err) || netconn.IsTransient(err) {
		time.Sleep(acceptRetryInterval)
	} else {
		time.Sleep(acceptErrorPause)
	}
}

// newConn returns the connection of an accepted socket, with its limits and timeouts set.
func (s *Server) newConn(socket net.Conn, hasSlot bool) *clientConn {
	now := time.Now()
	c := &clientConn{server: s, hasSlot: hasSlot, lastMessage: now, messageDeadline: now.Add(messageTimeout)}
	if remote, ok := socket.RemoteAddr().(*net.TCPAddr); ok {
		c.clientAddr = remote.AddrPort().Addr().Unmap()
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
	c.Socket = socket
	c.Budget = s.outputBudget
	c.WriteTimeout = writeTimeout
	c.MaxQueuedBytes = maxQueuedBytes
	c.OnIdle = c.checkIdle
	c.IdleDeadline = c.idleDeadline
	c.DrainOnEnd = true
	return c
}

// acquireSlot waits for a free slot and takes it. Meanwhile it evicts idle connections, also those that become idle
// while it waits. It returns false if no slot was free when the server began to drain.
func (s *Server) acquireSlot() bool {
	for waited := false; ; waited = true {
		select {
		case s.slots <- struct{}{}:
			return true
		default:
		}
		if !s.evictIdle() && !waited {
			s.AcceptPauses.Add(1)
		}
		select {
		case s.slots <- struct{}{}:
			return true
		case <-s.stopped:
			return false
		case <-time.After(slotPollInterval):
		}
	}
}

// evictIdle closes the connection that has been idle longest and reports whether there was one. A connection is idle
// since its last message, or since its accept if it has sent none, so that many silent connections cannot take the
// slots of active clients.
func (s *Server) evictIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *clientConn
	var oldestSince time.Time
	for c := range s.connections {
		if since, idle := c.idleSince(); idle && (oldest == nil || since.Before(oldestSince)) {
			oldest = c
			oldestSince = since
		}
	}
	if oldest == nil || !oldest.closeIfIdle() {
		return false
	}
	s.Evicted.Add(1)
	oldest.End(false)
	return true
}

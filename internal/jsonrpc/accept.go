package jsonrpc

import (
	"errors"
	"net"
	"os"
	"time"

	"liftshift/internal/netconn"
)

const (
	acceptRetryInterval = 50 * time.Millisecond // after an error of this machine
	acceptErrorPause    = time.Millisecond      // after an error of one connection
	slotPollInterval    = 20 * time.Millisecond // between looks for an idle connection to close
)

// Run accepts connections until Stop. Where there is no slot left, the connection that has been idle for longest is closed; where
// none is idle or no descriptor is left, accepting pauses.
func (s *Server) Run() {
	for {
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // the deadline of Drain
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
		if s.draining { // it was accepted as the listener closed
			c.drain()
		}
		s.mu.Unlock()
		go c.serve()
	}
}

// pauseAccept waits after a failed accept, as long as its error suggests.
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

func (s *Server) newConn(socket net.Conn, hasSlot bool) *clientConn {
	now := time.Now()
	c := &clientConn{server: s, hasSlot: hasSlot, lastMessage: now, messageDeadline: now.Add(messageTimeout)}
	if remote, ok := socket.RemoteAddr().(*net.TCPAddr); ok {
		c.addr = remote.AddrPort().Addr().Unmap()
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(kernelBufferBytes)
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

// acquireSlot waits for a slot; false if there was none by the time that the server drains. Connections that are idle, or become so
// meanwhile, are closed.
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

// evictIdle closes the connection that has been idle for longest and returns whether there was one. The time counts from the last
// message, or from the accept where none came: silent connections by the hundred must not cost active clients their slots.
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

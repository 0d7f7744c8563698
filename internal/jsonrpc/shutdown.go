package jsonrpc

import "time"

const (
	drainAcceptTime  = 5 * time.Millisecond // how long a draining server still accepts connections of the backlog
	stopPollInterval = 2 * time.Millisecond
)

// Drain stops taking requests. Connections that already wait in the listen backlog are still accepted, so that their
// requests are rejected instead of lost. Each connection ends once it has no open request and its output is written.
// Requests that arrive until then are rejected.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	close(s.stopped)
	listener, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || listener.SetDeadline(time.Now().Add(drainAcceptTime)) != nil {
		_ = s.listener.Close()
	}
	for c := range s.connections {
		c.drain()
	}
}

// Stop drains the server and waits until all connections have ended. Connections that are left after the timeout are
// closed without writing their queued output.
func (s *Server) Stop(timeout time.Duration) {
	s.Drain()
	for start, atOnce := time.Now(), false; s.endAll(atOnce) > 0 && !atOnce; time.Sleep(stopPollInterval) {
		atOnce = time.Since(start) > timeout
	}
	_ = s.listener.Close()
}

// endAll ends all connections, at once or after their queued output is written, and returns their number.
func (s *Server) endAll(atOnce bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.End(atOnce)
	}
	return len(s.connections)
}

// Done reports whether no request is open and every answer has been written.
func (s *Server) Done() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if !c.isDone() {
			return false
		}
	}
	return true
}

// isDone reports whether the connection has neither an open request nor unwritten output.
func (c *clientConn) isDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openRequests) == 0 && c.Flushed()
}

// drain makes the connection reject further requests, and ends it if none is open. Otherwise the last answer ends it.
func (c *clientConn) drain() {
	c.mu.Lock()
	c.closing = true
	open := len(c.openRequests)
	c.mu.Unlock()
	if open == 0 {
		c.End(false)
	}
}

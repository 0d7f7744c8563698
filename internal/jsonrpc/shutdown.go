package jsonrpc

import "time"

const (
	drainAcceptTime  = 5 * time.Millisecond // for which connections that are there already are accepted once the server drains
	stopPollInterval = 2 * time.Millisecond
)

// Drain takes no more requests. Connections that already wait to be accepted still are, to reject their requests. Each connection
// ends once nothing is open on it and all is written; requests that still come are rejected.
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

// Stop drains and waits until all connections have ended; after the timeout they are closed at once.
func (s *Server) Stop(timeout time.Duration) {
	s.Drain()
	for began, atOnce := time.Now(), false; s.endAll(atOnce) > 0 && !atOnce; time.Sleep(stopPollInterval) {
		atOnce = time.Since(began) > timeout
	}
	_ = s.listener.Close()
}

// endAll ends all connections, once all is written or at once, and returns how many there were.
func (s *Server) endAll(atOnce bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.End(atOnce)
	}
	return len(s.connections)
}

// Done returns whether no request is open and every answer has been written.
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

func (c *clientConn) isDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0 && c.Flushed()
}

// drain takes no more requests on a connection and ends it once nothing is open.
func (c *clientConn) drain() {
	c.mu.Lock()
	c.closing = true
	open := len(c.open)
	c.mu.Unlock()
	if open == 0 {
		c.End(false)
	}
}

package peer

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// muxSession is a yamux session with its connection.
type muxSession struct {
	*yamux.Session
	conn net.Conn
}

func newMuxClient(conn net.Conn) (*muxSession, error) {
	session, err := yamux.Client(newFrameConn(conn), sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "open session")
	}
	return &muxSession{session, conn}, nil
}

func newMuxServer(conn net.Conn) (*muxSession, error) {
	session, err := yamux.Server(newFrameConn(conn), sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "accept session")
	}
	return &muxSession{session, conn}, nil
}

// Close closes the connection first, and then the session once it has noticed. yamux closes a session the other way round: it
// announces the end, waits for the connection, and ends its streams last. Until then each goroutine that reads or writes a stream is a
// busy loop, and without a free processor these delay the end that they wait for.
func (s *muxSession) Close() error {
	_ = s.conn.Close() // The session returns the error of its own close.
	<-s.CloseChan()
	return s.Session.Close()
}

package transport

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/protocol"
)

// frameHeaderBytes is the size of the length prefix of each message between controllers.
const frameHeaderBytes = 4

// peerSender owns the outgoing connection to a peer.
type peerSender struct {
	address  string
	log      *slog.Logger
	conn     net.Conn  // nil while disconnected
	nextDial time.Time // earliest time of the next attempt after a failed one
}

// run sends queued messages until ctx ends. Messages are dropped while there is no connection.
func (s *peerSender) run(ctx context.Context, queue <-chan []byte) {
	defer s.disconnect()
	for {
		select {
		case <-ctx.Done():
			return
		case raw := <-queue:
			if !s.connect(ctx) {
				continue
			}
			if err := s.write(raw); err != nil {
				s.log.Debug("peer connection failed", "address", s.address, "err", err)
				s.disconnect()
			}
		}
	}
}

// connect reports whether there is a connection. If there is none it dials, at most once every
// peerDialInterval after a failure.
func (s *peerSender) connect(ctx context.Context) bool {
	if s.conn != nil {
		return true
	}
	if time.Now().Before(s.nextDial) {
		return false
	}
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", s.address)
	if err != nil {
		s.nextDial = time.Now().Add(peerDialInterval)
		return false
	}
	s.conn = conn
	return true
}

func (s *peerSender) write(raw []byte) error {
	frame := make([]byte, 0, frameHeaderBytes+len(raw))
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(raw)))
	frame = append(frame, raw...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout)); err != nil {
		return err
	}
	_, err := s.conn.Write(frame)
	return err
}

func (s *peerSender) disconnect() {
	if s.conn != nil {
		closeQuietly(s.conn)
		s.conn = nil
	}
}

// readPeerStatus reads one message, within peerReadTimeout and of at most MaxPeerStatusBytes.
func readPeerStatus(conn net.Conn) (*messages.PeerStatus, error) {
	if err := conn.SetReadDeadline(time.Now().Add(peerReadTimeout)); err != nil {
		return nil, err
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return nil, err
	}
	size := binary.LittleEndian.Uint32(header[:])
	if size > protocol.MaxPeerStatusBytes {
		return nil, fmt.Errorf("message of %d bytes", size)
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(conn, raw); err != nil {
		return nil, err
	}
	return protocol.DecodePeerStatus(raw)
}

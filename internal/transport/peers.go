package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/config"
	"pipitlatch/internal/protocol"
)

// peerLinks keeps one connection to every other controller for sending; what
// they send comes in on theirs. A message is its length and a FlatBuffer. All of
// it is a hint that the next message replaces, so nothing is ever resent.
type peerLinks struct {
	log    *slog.Logger
	inputs chan<- messages.Input
	out    map[string]chan []byte
	cfg    *config.Config
}

func newPeerLinks(cfg *config.Config, log *slog.Logger, inputs chan<- messages.Input) *peerLinks {
	s := &peerLinks{log: log, inputs: inputs, cfg: cfg, out: map[string]chan []byte{}}
	for _, p := range cfg.Peers {
		s.out[p.Member] = make(chan []byte, 4)
	}
	return s
}

func (s *peerLinks) run(ctx context.Context, l net.Listener) {
	for _, p := range s.cfg.Peers {
		go s.sender(ctx, p.Address, s.out[p.Member])
	}
	go func() {
		room := make(chan struct{}, 4*len(s.cfg.Peers)+4)
		for {
			c, err := l.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(50 * time.Millisecond) // out of sockets, say
				continue
			}
			select {
			case room <- struct{}{}:
				go func() {
					defer func() { <-room }()
					s.receive(c)
				}()
			default:
				c.Close()
			}
		}
	}()
}

// send queues a message; a sibling that does not take them misses the oldest.
func (s *peerLinks) send(to string, status *messages.PeerStatus) {
	ch := s.out[to]
	if ch == nil {
		return
	}
	raw := protocol.EncodePeerStatus(status)
	for {
		select {
		case ch <- raw:
			return
		default:
		}
		select {
		case <-ch:
		default:
		}
	}
}

func (s *peerLinks) sender(ctx context.Context, addr string, ch <-chan []byte) {
	var conn net.Conn
	var retry time.Time
	for {
		var raw []byte
		select {
		case <-ctx.Done():
			if conn != nil {
				conn.Close()
			}
			return
		case raw = <-ch:
		}
		if conn == nil {
			if time.Now().Before(retry) {
				continue
			}
			var err error
			if conn, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				retry = time.Now().Add(500 * time.Millisecond)
				conn = nil
				continue
			}
		}
		frame := binary.LittleEndian.AppendUint32(make([]byte, 0, len(raw)+4), uint32(len(raw)))
		frame = append(frame, raw...)
		err := conn.SetWriteDeadline(time.Now().Add(time.Second))
		if err == nil {
			_, err = conn.Write(frame)
		}
		if err != nil {
			s.log.Debug("peer connection failed", "address", addr, "err", err)
			conn.Close()
			conn = nil
		}
	}
}

func (s *peerLinks) receive(c net.Conn) {
	defer c.Close()
	for {
		status, err := readStatus(c)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.Debug("peer connection failed", "remote", c.RemoteAddr().String(), "err", err)
			}
			return
		}
		select {
		case s.inputs <- status:
		default: // the next message replaces it
		}
	}
}

func readStatus(c net.Conn) (*messages.PeerStatus, error) {
	if err := c.SetReadDeadline(time.Now().Add(15 * time.Second)); err != nil {
		return nil, err
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n > protocol.MaxPeerStatusBytes {
		return nil, fmt.Errorf("message of %d bytes", n)
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(c, raw); err != nil {
		return nil, err
	}
	return protocol.DecodePeerStatus(raw)
}

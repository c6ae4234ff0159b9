package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/protocol"
)

const (
	// peerQueue is how many messages wait for a peer.
	peerQueue = 4
	// peerDialTimeout and peerWriteTimeout bound what a peer that is gone costs its sender.
	peerDialTimeout  = time.Second
	peerWriteTimeout = time.Second
	// peerDialInterval is how long after a failed attempt the next is made.
	peerDialInterval = 500 * time.Millisecond
	// peerReadTimeout ends connections whose other end is gone without a word.
	peerReadTimeout = 15 * time.Second
	// acceptRetryInterval is the pause after a failure to accept, for want of sockets, say.
	acceptRetryInterval = 50 * time.Millisecond
)

// peerLinks keeps one connection to every other controller for sending; what they send comes in on
// theirs. A message is its length and a FlatBuffer. All of it is a hint that the next message replaces,
// so nothing is ever sent again.
type peerLinks struct {
	log      *slog.Logger
	inputs   chan<- messages.Input
	outgoing map[string]chan []byte // by the peer's member name
	peers    []config.Peer
}

func newPeerLinks(cfg *config.Config, log *slog.Logger, inputs chan<- messages.Input) *peerLinks {
	p := &peerLinks{log: log, inputs: inputs, peers: cfg.Peers, outgoing: map[string]chan []byte{}}
	for _, peer := range cfg.Peers {
		p.outgoing[peer.Member] = make(chan []byte, peerQueue)
	}
	return p
}

// run sends and receives until ctx ends, and returns when all its connections are closed. It closes the
// listener.
func (p *peerLinks) run(ctx context.Context, listener net.Listener) {
	var links sync.WaitGroup
	defer links.Wait()
	for _, peer := range p.peers {
		sender := &peerSender{address: peer.Address, log: p.log}
		links.Go(func() { sender.run(ctx, p.outgoing[peer.Member]) })
	}
	stop := context.AfterFunc(ctx, func() { closeQuietly(listener) })
	defer stop()
	p.accept(ctx, listener, &links)
}

// accept takes connections of peers, a few for each, until the listener is closed.
func (p *peerLinks) accept(ctx context.Context, listener net.Listener, links *sync.WaitGroup) {
	slots := make(chan struct{}, 4*len(p.peers)+4)
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryInterval)
			continue
		}
		select {
		case slots <- struct{}{}:
			links.Go(func() {
				defer func() { <-slots }()
				p.receive(ctx, conn)
			})
		default:
			closeQuietly(conn)
		}
	}
}

// receive reads messages until the connection fails or ctx ends.
func (p *peerLinks) receive(ctx context.Context, conn net.Conn) {
	defer closeQuietly(conn)
	stop := context.AfterFunc(ctx, func() { closeQuietly(conn) }) // ends a read that waits
	defer stop()
	for {
		status, err := readPeerStatus(conn)
		if err != nil {
			if !errors.Is(err, io.EOF) && ctx.Err() == nil {
				p.log.Debug("peer connection failed", "address", conn.RemoteAddr().String(), "err", err)
			}
			return
		}
		select {
		case p.inputs <- status:
		default: // the next message replaces it
		}
	}
}

// send queues a message; a peer that does not take them misses the oldest.
func (p *peerLinks) send(member string, status *messages.PeerStatus) {
	queue := p.outgoing[member]
	if queue == nil {
		return
	}
	raw := protocol.EncodePeerStatus(status)
	for {
		select {
		case queue <- raw:
			return
		default:
		}
		select {
		case <-queue:
		default:
		}
	}
}

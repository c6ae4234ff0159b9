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
	// peerQueue is the capacity of a peer's outgoing queue, in messages.
	peerQueue = 4
	// peerDialTimeout and peerWriteTimeout bound how long an unreachable peer blocks its sender.
	peerDialTimeout  = time.Second
	peerWriteTimeout = time.Second
	// peerDialInterval is the delay between a failed connection attempt and the next.
	peerDialInterval = 500 * time.Millisecond
	// peerReadTimeout closes connections whose remote end has disappeared without closing them.
	peerReadTimeout = 15 * time.Second
	// acceptRetryInterval is the delay after a failed accept, for example when file descriptors run out.
	acceptRetryInterval = 50 * time.Millisecond
)

// peerLinks keeps one outgoing connection to every other controller and receives on the connections that
// they open. A message is a length prefix and a FlatBuffer. Messages are advisory, and each replaces the
// previous one, so lost messages are not retransmitted.
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

// run sends and receives until ctx ends, and returns once all its connections are closed. It closes the
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

// accept accepts connections until the listener is closed. Their number is limited to four per peer, plus
// four; further ones are closed.
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
	stop := context.AfterFunc(ctx, func() { closeQuietly(conn) }) // unblocks a pending read
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
		default: // input queue full: the next message replaces this one
		}
	}
}

// send queues a message without blocking. If the peer's queue is full, the oldest message is dropped.
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

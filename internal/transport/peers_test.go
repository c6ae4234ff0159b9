package transport

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/protocol"
	"pipitlatch/internal/storage"
)

// startPeerLinks runs the links of one controller until the test ends. The cleanup waits for run to return
// after its context is cancelled; TestMain checks for leaked goroutines.
func startPeerLinks(t *testing.T, peers ...config.Peer) (links *peerLinks, inputs <-chan messages.Input, addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan messages.Input, 16)
	links = newPeerLinks(&config.Config{Platform: config.Platform{Peers: peers}}, discardLog(), received)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { links.run(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return links, received, listener.Addr().String()
}

func receivePeerStatus(t *testing.T, inputs <-chan messages.Input) *messages.PeerStatus {
	t.Helper()
	select {
	case in := <-inputs:
		status, ok := in.(*messages.PeerStatus)
		if !ok {
			t.Fatalf("got %T", in)
		}
		return status
	case <-time.After(10 * time.Second):
		t.Fatal("no peer message within 10 s")
		return nil
	}
}

func TestPeerMessagesArriveInOrder(t *testing.T) {
	_, inputs, addr := startPeerLinks(t)
	sender, _, _ := startPeerLinks(t, config.Peer{Member: "b", Address: addr})
	for revision := range uint64(3) {
		sender.send("b", &messages.PeerStatus{From: storage.Process{Member: "a"}, Revision: revision})
	}
	sender.send("nobody", &messages.PeerStatus{From: storage.Process{Member: "a"}})
	for revision := range uint64(3) {
		if got := receivePeerStatus(t, inputs); got.From.Member != "a" || got.Revision != revision {
			t.Errorf("got revision %d of %q, want %d", got.Revision, got.From.Member, revision)
		}
	}
}

// TestPeerQueueDropsTheOldest: a peer that does not receive must not block the driver's loop, and must get the
// latest messages once it receives again.
func TestPeerQueueDropsTheOldest(t *testing.T) {
	cfg := &config.Config{Platform: config.Platform{Peers: []config.Peer{{Member: "b"}}}}
	links := newPeerLinks(cfg, discardLog(), nil)
	for revision := range uint64(peerQueue + 2) {
		links.send("b", &messages.PeerStatus{From: storage.Process{Member: "a"}, Revision: revision})
	}
	if n := len(links.outgoing["b"]); n != peerQueue {
		t.Errorf("%d messages wait, want %d", n, peerQueue)
	}
	oldest, err := protocol.DecodePeerStatus(<-links.outgoing["b"])
	if err != nil || oldest.Revision != 2 {
		t.Errorf("the oldest is %+v, %v, want revision 2", oldest, err)
	}
}

// TestPeerMessageTooLong: a length above the limit is rejected before a buffer is allocated for it.
func TestPeerMessageTooLong(t *testing.T) {
	ours, theirs := net.Pipe()
	defer mustClose(t, ours)
	defer mustClose(t, theirs)
	var writing sync.WaitGroup
	writing.Go(func() {
		header := binary.LittleEndian.AppendUint32(nil, protocol.MaxPeerStatusBytes+1)
		if _, err := theirs.Write(header); err != nil {
			t.Error(err)
		}
	})
	_, err := readPeerStatus(ours)
	writing.Wait()
	if err == nil || !strings.Contains(err.Error(), "message of 1048577 bytes") {
		t.Errorf("got %v", err)
	}
}

// TestPeerConnectionsEndWithTheirContext: an idle connection of a peer must not delay shutdown.
func TestPeerConnectionsEndWithTheirContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := newPeerLinks(&config.Config{}, discardLog(), make(chan messages.Input, 1))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { links.run(ctx, listener) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, conn)
	begin := time.Now()
	cancel()
	running.Wait()
	if took := time.Since(begin); took > peerReadTimeout/2 {
		t.Errorf("ended after %v", took)
	}
}

package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// RelayMode is what a relay does with connections.
type RelayMode uint8

// Modes of a relay.
const (
	// Forwarding forwards everything.
	Forwarding RelayMode = iota
	// Delaying delays each piece (the bytes of one read) by slowDelay.
	Delaying
	// Blocking forwards nothing in either direction and keeps the connections open.
	Blocking
	// BlockingInbound forwards only what the node sends, and nothing towards it.
	BlockingInbound
	// Resetting resets all connections and accepts no new ones.
	Resetting
)

// String names the mode.
func (m RelayMode) String() string {
	return [...]string{"passing", "slow", "silent", "one_way", "resetting"}[m]
}

const (
	slowDelay = 60 * time.Millisecond
	// blockedPollInterval is the time between two checks whether held bytes may be forwarded.
	blockedPollInterval = 10 * time.Millisecond
	pieceBytes          = 32 << 10
)

// relay is a TCP proxy in front of one node's peer listener.
type relay struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	mode     RelayMode
	open     map[net.Conn]struct{}
}

func startRelay(address, target string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("starting a relay: %w", err)
	}
	made := &relay{listener: listener, target: target, open: map[net.Conn]struct{}{}}
	go made.accept()
	return made, nil
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setMode(Resetting)
}

func (r *relay) setMode(mode RelayMode) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mode = mode
	if mode != Resetting {
		return
	}
	for connection := range r.open {
		reset(connection)
	}
	clear(r.open)
}

func reset(connection net.Conn) {
	if raw, isTCP := connection.(*net.TCPConn); isTCP {
		_ = raw.SetLinger(0)
	}
	_ = connection.Close()
}

func (r *relay) currentMode() RelayMode {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mode
}

func (r *relay) accept() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(connection)
	}
}

func (r *relay) serve(outside net.Conn) {
	if r.currentMode() == Resetting {
		reset(outside)
		return
	}
	inside, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		reset(outside)
		return
	}
	r.mutex.Lock()
	r.open[outside], r.open[inside] = struct{}{}, struct{}{}
	r.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forward(inside, outside, true) })
	both.Go(func() { r.forward(outside, inside, false) })
	both.Wait()
	r.mutex.Lock()
	delete(r.open, outside)
	delete(r.open, inside)
	r.mutex.Unlock()
}

// forward forwards bytes in one direction until either end closes.
func (r *relay) forward(to, from net.Conn, towardsNode bool) {
	defer to.Close()
	piece := make([]byte, pieceBytes)
	for {
		count, err := from.Read(piece)
		for r.isBlocked(towardsNode) {
			time.Sleep(blockedPollInterval)
		}
		if r.currentMode() == Delaying {
			time.Sleep(slowDelay)
		}
		if count > 0 {
			if _, writeErr := to.Write(piece[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

func (r *relay) isBlocked(towardsNode bool) bool {
	mode := r.currentMode()
	return mode == Blocking || mode == BlockingInbound && towardsNode
}

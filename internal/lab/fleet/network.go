// Package fleet runs whole fleets of real nodes in one process: the daemon's complete code (package node, whose
// nodes are all listed in the settings), over an in-memory network that can be partitioned and in-memory
// disks that lose what was not synced. Inside a testing/synctest bubble it runs in virtual time.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

// errConnectionRefused is the error of a dial to an address on which nothing listens, as on a real
// network.
var errConnectionRefused = fmt.Errorf("fleet: %w", syscall.ECONNREFUSED)

// Network is an in-memory network of named machines.
type Network struct {
	mutex sync.Mutex
	// listeners are the open listeners by address.
	listeners map[string]*memoryListener
	// partitions are the directions without traffic, by sender and receiver.
	partitions map[[2]string]bool
	// refusals are the pairs of dialing and listening machines whose new connections are refused.
	refusals map[[2]string]bool
	// healed is closed and replaced when all partitions end.
	healed chan struct{}
	// connections are the open connections by machine, to break them when it crashes.
	connections map[string]map[*memoryConnection]struct{}
	// bytes counts the bytes sent, by sender and receiver.
	bytes map[[2]string]int
	// delays is the time that bytes to a machine take.
	delays map[string]time.Duration
	// links are the links of the machines that have a limited bandwidth.
	links map[string]*link
}

// link is the network link of a machine with a limited bandwidth in each direction.
type link struct {
	bytesPerSecond float64
	// outgoingFreeAt and incomingFreeAt are when the link will have carried all bytes so far.
	outgoingFreeAt, incomingFreeAt time.Time
}

// carry adds bytes that reach one direction of the link at a time, and returns when it will have carried them.
func (l *link) carry(freeAt *time.Time, at time.Time, bytes int) time.Time {
	if freeAt.Before(at) {
		*freeAt = at
	}
	*freeAt = freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return *freeAt
}

// NewNetwork returns a network without partitions or delays.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*memoryListener{}, partitions: map[[2]string]bool{}, refusals: map[[2]string]bool{}, healed: make(chan struct{}),
		connections: map[string]map[*memoryConnection]struct{}{}, bytes: map[[2]string]int{},
		delays: map[string]time.Duration{}, links: map[string]*link{},
	}
}

// Listen opens a listener at an address of a machine.
func (n *Network) Listen(machine, address string) net.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	listener := &memoryListener{network: n, machine: machine, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

// Dialer returns a function that dials from a machine.
func (n *Network) Dialer(machine string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, machine, address)
	}
}

// dialTimeout is the time after which a dial into a partition fails.
const dialTimeout = time.Second

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n.mutex.Lock()
	listener := n.listeners[address]
	isRefused := listener == nil || n.refusals[[2]string{from, listener.machine}]
	n.mutex.Unlock()
	if isRefused {
		return nil, fmt.Errorf("%w: %s", errConnectionRefused, address)
	}
	// A connection opens with packets in both directions.
	for _, direction := range [][2]string{{from, listener.machine}, {listener.machine, from}} {
		if err := n.waitUntilReachable(ctx.Done(), direction[0], direction[1]); err != nil {
			return nil, err
		}
	}
	if delay := time.Until(n.arrival(from, listener.machine, 0)); delay > 0 && !pause.For(ctx, delay) {
		return nil, ctx.Err()
	}
	dialerEnd, listenerEnd := net.Pipe()
	dialerConnection := n.track(dialerEnd, from, listener.machine)
	listenerConnection := n.track(listenerEnd, listener.machine, from)
	dialerConnection.peerClosed, listenerConnection.peerClosed = listenerConnection.closed, dialerConnection.closed
	select {
	case listener.accepted <- listenerConnection:
		return dialerConnection, nil
	case <-listener.closed:
		err := fmt.Errorf("%w: %s", errConnectionRefused, address)
		return nil, errors.Join(err, dialerConnection.abort(), listenerConnection.abort())
	case <-ctx.Done():
		return nil, errors.Join(ctx.Err(), dialerConnection.abort(), listenerConnection.abort())
	}
}

// waitUntilReachable waits while traffic from one machine to another is partitioned, or until done is
// closed.
func (n *Network) waitUntilReachable(done <-chan struct{}, from, to string) error {
	for {
		n.mutex.Lock()
		isPartitioned, healed := n.partitions[[2]string{from, to}], n.healed
		n.mutex.Unlock()
		if !isPartitioned {
			return nil
		}
		select {
		case <-done:
			return errors.New("fleet: timed out in a network partition")
		case <-healed:
		}
	}
}

func (n *Network) track(connection net.Conn, from, to string) *memoryConnection {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	tracked := &memoryConnection{Conn: connection, network: n, from: from, to: to, closed: make(chan struct{})}
	if n.connections[from] == nil {
		n.connections[from] = map[*memoryConnection]struct{}{}
	}
	n.connections[from][tracked] = struct{}{}
	return tracked
}

// PartitionOneWay stops traffic from one machine to another until Heal.
func (n *Network) PartitionOneWay(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitions[[2]string{from, to}] = true
}

// PartitionBetween stops traffic between two groups of machines in both directions until Heal.
func (n *Network) PartitionBetween(left, right []string) {
	for _, one := range left {
		for _, other := range right {
			n.PartitionOneWay(one, other)
			n.PartitionOneWay(other, one)
		}
	}
}

// RefuseBetween refuses new connections from some machines to others until Heal. Open ones continue.
func (n *Network) RefuseBetween(dialing, listening []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, one := range dialing {
		for _, other := range listening {
			n.refusals[[2]string{one, other}] = true
		}
	}
}

// BreakConnectionsBetween closes the connections between two groups of machines.
func (n *Network) BreakConnectionsBetween(left, right []string) {
	n.mutex.Lock()
	var broken []*memoryConnection
	for _, one := range left {
		for connection := range n.connections[one] {
			if slices.Contains(right, connection.to) {
				broken = append(broken, connection)
			}
		}
	}
	n.mutex.Unlock()
	for _, connection := range broken {
		_ = connection.abort()
	}
}

// SetDelay delays all bytes to a machine, and connections to it, as a saturated link does.
func (n *Network) SetDelay(machine string, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delays[machine] = delay
}

// SetBandwidth limits the bandwidth of a machine's link in each direction. Bytes that it can't carry yet wait
// behind earlier ones.
func (n *Network) SetBandwidth(machine string, bytesPerSecond float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[machine] = &link{bytesPerSecond: bytesPerSecond}
}

// arrival returns when bytes that are sent now arrive: after the links of both machines have carried them, and
// the delay.
func (n *Network) arrival(from, to string, bytes int) time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	at := time.Now()
	if sender := n.links[from]; sender != nil {
		at = sender.carry(&sender.outgoingFreeAt, at, bytes)
	}
	if receiver := n.links[to]; receiver != nil {
		at = receiver.carry(&receiver.incomingFreeAt, at, bytes)
	}
	return at.Add(n.delays[to])
}

// Heal ends all partitions.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitions, n.refusals = map[[2]string]bool{}, map[[2]string]bool{}
	close(n.healed)
	n.healed = make(chan struct{})
}

// BreakMachine closes all connections and listeners of a machine, as its crash does.
func (n *Network) BreakMachine(machine string) {
	n.mutex.Lock()
	var broken []*memoryConnection
	for connection := range n.connections[machine] {
		broken = append(broken, connection)
	}
	delete(n.connections, machine)
	var closing []*memoryListener
	for address, listener := range n.listeners {
		if listener.machine == machine {
			closing = append(closing, listener)
			delete(n.listeners, address)
		}
	}
	n.mutex.Unlock()
	for _, listener := range closing {
		_ = listener.Close()
	}
	for _, connection := range broken {
		_ = connection.abort()
	}
}

// BreakConnections closes a machine's connections; its listeners stay open.
func (n *Network) BreakConnections(machine string) {
	n.mutex.Lock()
	var broken []*memoryConnection
	for connection := range n.connections[machine] {
		broken = append(broken, connection)
	}
	n.mutex.Unlock()
	for _, connection := range broken {
		_ = connection.abort()
	}
}

// BytesFrom returns the number of bytes that a machine sent to the machines that the filter accepts.
func (n *Network) BytesFrom(machine string, accept func(to string) bool) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	total := 0
	for pair, bytes := range n.bytes {
		if pair[0] == machine && accept(pair[1]) {
			total += bytes
		}
	}
	return total
}

type memoryListener struct {
	network  *Network
	machine  string
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }

func (a memoryAddress) String() string { return string(a) }

// memoryConnection is one end of a connection. In a partition its writes block, as in TCP, until the
// partition ends or the connection is closed.
type memoryConnection struct {
	net.Conn
	network  *Network
	from, to string
	once     sync.Once
	closed   chan struct{}
	// peerClosed is closed once the other end is.
	peerClosed <-chan struct{}
	// inTransit is nil until a write first takes time. From then on it holds the writes in transit, whose
	// delivery startDelivery starts.
	inTransit     atomic.Pointer[chan delayedWrite]
	startDelivery sync.Once
	// isClosing is set once Close was called while the delivery goes on.
	isClosing atomic.Bool
}

// delayedWrite is one write in transit, or the end of the connection, due at a time.
type delayedWrite struct {
	data  []byte
	at    time.Time
	isEnd bool
}

// inTransitCapacity is the maximum number of writes in transit on a connection.
const inTransitCapacity = 1024

func (c *memoryConnection) Write(data []byte) (int, error) {
	if err := c.network.waitUntilReachable(c.closed, c.from, c.to); err != nil {
		return 0, net.ErrClosed
	}
	written, err := c.write(data)
	c.network.mutex.Lock()
	c.network.bytes[[2]string{c.from, c.to}] += written
	c.network.mutex.Unlock()
	return written, err
}

// write passes bytes to the other end, immediately or when they arrive. Once bytes took time, all later ones
// are queued after those in transit, so that they stay in order.
func (c *memoryConnection) write(data []byte) (int, error) {
	select {
	case <-c.peerClosed:
		// A closed connection takes nothing of the links.
		return 0, io.ErrClosedPipe
	default:
	}
	if c.isClosing.Load() {
		return 0, net.ErrClosed
	}
	at := c.network.arrival(c.from, c.to, len(data))
	if time.Until(at) > 0 {
		c.startDelivery.Do(func() {
			inTransit := make(chan delayedWrite, inTransitCapacity)
			c.inTransit.Store(&inTransit)
			go c.deliver(inTransit)
		})
	}
	inTransit := c.inTransit.Load()
	if inTransit == nil {
		return c.Conn.Write(data)
	}
	select {
	case *inTransit <- delayedWrite{data: slices.Clone(data), at: at}:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// deliver passes each write in transit to the other end when it is due, until the connection closes.
func (c *memoryConnection) deliver(inTransit <-chan delayedWrite) {
	for {
		select {
		case <-c.closed:
			return
		case next := <-inTransit:
			if !c.waitUntil(next.at) {
				return
			}
			if next.isEnd {
				_ = c.abort()
				return
			}
			if _, err := c.Conn.Write(next.data); err != nil {
				_ = c.abort()
				return
			}
		}
	}
}

// waitUntil waits until a moment. It returns false if the connection closes before.
func (c *memoryConnection) waitUntil(moment time.Time) bool {
	wait := time.Until(moment)
	if wait <= 0 {
		return true
	}
	select {
	case <-c.closed:
		return false
	case <-time.After(wait):
		return true
	}
}

// Close closes the connection. What was written before still arrives, as in TCP, and the end with it.
func (c *memoryConnection) Close() error {
	inTransit := c.inTransit.Load()
	if inTransit == nil {
		return c.abort()
	}
	if c.isClosing.Swap(true) {
		return nil
	}
	// Reads in progress end, as they do on a closed connection.
	_ = c.Conn.SetReadDeadline(time.Now())
	select {
	case *inTransit <- delayedWrite{at: time.Now(), isEnd: true}:
		return nil
	case <-c.closed:
		return net.ErrClosed
	default:
		return c.abort()
	}
}

// abort closes the connection, and what is in transit is lost.
func (c *memoryConnection) abort() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mutex.Lock()
		delete(c.network.connections[c.from], c)
		c.network.mutex.Unlock()
	})
	return c.Conn.Close()
}

func (c *memoryConnection) LocalAddr() net.Addr { return memoryAddress(c.from) }

func (c *memoryConnection) RemoteAddr() net.Addr { return memoryAddress(c.to) }

// Package fleet runs whole fleets of real nodes in one process: the daemon's
// own code with all its duties, over an in-memory network that can be cut and
// in-memory disks that lose what was not synced. Inside a testing/synctest
// bubble it runs in virtual time.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

// errNetworkDown is what a dial to a dead or unknown address returns, as a machine
// answers on which nothing listens.
var errNetworkDown = fmt.Errorf("fleet: %w", syscall.ECONNREFUSED)

// Network is an in-memory network of named machines.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*memoryListener
	cut       map[[2]string]bool
	// healed is closed and replaced when cuts change.
	healed chan struct{}
	// connections of each machine, to break them when it dies.
	connections map[string]map[*memoryConnection]struct{}
	// Bytes counts the bytes between each two machines.
	bytes map[[2]string]int
	// delays is how long bytes to a machine are on their way.
	delays map[string]time.Duration
}

// NewNetwork makes a network without cuts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*memoryListener{}, cut: map[[2]string]bool{}, healed: make(chan struct{}),
		connections: map[string]map[*memoryConnection]struct{}{}, bytes: map[[2]string]int{},
		delays: map[string]time.Duration{},
	}
}

// Listen opens an address on a machine.
func (n *Network) Listen(machine, address string) net.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	listener := &memoryListener{network: n, machine: machine, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

// Dialer returns a dial function for a machine.
func (n *Network) Dialer(machine string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, machine, address)
	}
}

// dialTimeout is how long a dial into a cut takes to fail.
const dialTimeout = time.Second

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener == nil {
		return nil, fmt.Errorf("%w: %s", errNetworkDown, address)
	}
	if err := n.waitOpen(ctx.Done(), from, listener.machine); err != nil {
		return nil, err
	}
	if delay := n.delayTo(listener.machine); delay > 0 && !pause.For(ctx, delay) {
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	own := n.track(near, from, listener.machine)
	other := n.track(far, listener.machine, from)
	select {
	case listener.accepted <- other:
		return own, nil
	case <-listener.closed:
		err := fmt.Errorf("%w: %s", errNetworkDown, address)
		return nil, errors.Join(err, own.Close(), other.Close())
	case <-ctx.Done():
		return nil, errors.Join(ctx.Err(), own.Close(), other.Close())
	}
}

// waitOpen waits while traffic between two machines is cut.
func (n *Network) waitOpen(done <-chan struct{}, from, to string) error {
	for {
		n.mutex.Lock()
		cut, healed := n.cut[[2]string{from, to}], n.healed
		n.mutex.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-done:
			return errors.New("fleet: timed out in a cut")
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

// CutOneWay stops traffic from one machine to another.
func (n *Network) CutOneWay(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[[2]string{from, to}] = true
}

// CutBetween stops traffic between two groups in both directions.
func (n *Network) CutBetween(left, right []string) {
	for _, one := range left {
		for _, other := range right {
			n.CutOneWay(one, other)
			n.CutOneWay(other, one)
		}
	}
}

// Delay makes all bytes to a machine, and connections to it, take a time on
// their way, as over a link that is full.
func (n *Network) Delay(machine string, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delays[machine] = delay
}

func (n *Network) delayTo(machine string) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.delays[machine]
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut = map[[2]string]bool{}
	close(n.healed)
	n.healed = make(chan struct{})
}

// Break closes all connections and listeners of a machine that dies.
func (n *Network) Break(machine string) {
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
		_ = connection.Close()
	}
}

// BreakConnections closes a machine's connections; it lives on.
func (n *Network) BreakConnections(machine string) {
	n.mutex.Lock()
	var broken []*memoryConnection
	for connection := range n.connections[machine] {
		broken = append(broken, connection)
	}
	n.mutex.Unlock()
	for _, connection := range broken {
		_ = connection.Close()
	}
}

// BytesFrom is the number of bytes that a machine sent to machines that the
// filter accepts.
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

// memoryConnection is one end of a connection. In a cut its writes wait, as
// TCP's do, until the heal, its deadline or its close.
type memoryConnection struct {
	net.Conn
	network  *Network
	from, to string
	once     sync.Once
	closed   chan struct{}
	// late holds what is on its way since the connection's other end is behind a
	// delay; starting begins its delivery.
	late     chan lateBytes
	starting sync.Once
}

// lateBytes arrive at a time.
type lateBytes struct {
	data []byte
	at   time.Time
}

// lateCapacity is the number of writes that may be on their way.
const lateCapacity = 1024

func (c *memoryConnection) Write(data []byte) (int, error) {
	if err := c.network.waitOpen(c.closed, c.from, c.to); err != nil {
		return 0, net.ErrClosed
	}
	written, err := c.write(data)
	c.network.mutex.Lock()
	c.network.bytes[[2]string{c.from, c.to}] += written
	c.network.mutex.Unlock()
	return written, err
}

// write hands bytes to the other end, or sends them on a way that takes time.
// Once there was a delay all later bytes go behind those on their way.
func (c *memoryConnection) write(data []byte) (int, error) {
	delay := c.network.delayTo(c.to)
	if delay > 0 {
		c.starting.Do(func() {
			c.late = make(chan lateBytes, lateCapacity)
			go c.deliver()
		})
	}
	if c.late == nil {
		return c.Conn.Write(data)
	}
	select {
	case c.late <- lateBytes{data: slices.Clone(data), at: time.Now().Add(delay)}:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// deliver hands over what is on its way until the connection closes.
func (c *memoryConnection) deliver() {
	for {
		select {
		case <-c.closed:
			return
		case next := <-c.late:
			if !c.waitUntil(next.at) {
				return
			}
			if _, err := c.Conn.Write(next.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}

// waitUntil waits until a moment. It returns false as soon as the connection closes.
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

func (c *memoryConnection) Close() error {
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

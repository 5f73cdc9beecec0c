package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// acceptQueue is the length of the queue of new connections of an engine that can be stalled.
const acceptQueue = 1

// stallable is a listener whose queue of new connections can be made full, so that the opening packets of
// further ones are lost.
type stallable struct {
	net.Listener
	// stalled is held while nothing is accepted.
	stalled sync.Mutex
	fillers []net.Conn
}

// Accept implements net.Listener.
func (s *stallable) Accept() (net.Conn, error) {
	connection, err := s.Listener.Accept()
	s.awaitResume()
	return connection, err
}

// awaitResume waits for the end of a stall.
func (s *stallable) awaitResume() {
	s.stalled.Lock()
	defer s.stalled.Unlock()
}

// shortenQueue makes the queue of new connections short.
func (s *stallable) shortenQueue() error {
	system, isSystem := s.Listener.(syscall.Conn)
	if !isSystem {
		return errors.New("the listener has no descriptor")
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) { failure = syscall.Listen(int(descriptor), acceptQueue) })
	return errors.Join(err, failure)
}

// stop stops accepting and fills the queue.
func (s *stallable) stop() {
	s.stalled.Lock()
	for range acceptQueue + 4 {
		connection, err := net.DialTimeout("tcp", s.Addr().String(), 20*time.Millisecond)
		if err == nil {
			s.fillers = append(s.fillers, connection)
		}
	}
}

// resume empties the queue and accepts again.
func (s *stallable) resume() {
	for _, one := range s.fillers {
		_ = one.Close()
	}
	s.fillers = nil
	s.stalled.Unlock()
}

// engineIdle is how long an engine keeps an idle connection.
func (f *fleet) engineIdle() time.Duration {
	if f.shortIdle > 0 {
		return f.shortIdle
	}
	return 20 * time.Second
}

// ownerOf returns the name of the machine from which a connection came. On loopback all have the same address,
// so the process is found by its socket, as the address would show it on real machines.
func (f *fleet) ownerOf(remote string) string {
	if !f.findsSenders {
		return remote
	}
	_, port, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return remote
	}
	inode := inodeOf(number)
	if inode == "" {
		return remote
	}
	for _, one := range f.machines {
		if one.command != nil && one.command.Process != nil && ownsSocket(one.command.Process.Pid, inode) {
			return one.name
		}
	}
	return remote
}

// inodeOf returns the inode of the socket with a local port, "" if there is none.
func inodeOf(port int) string {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	suffix := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], suffix) && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

func ownsSocket(process int, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", process)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(folder + "/" + entry.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

const (
	homeRequests = 4
	// homePause is the time between two requests: longer than an engine keeps an idle connection.
	homePause = 1200 * time.Millisecond
	// stallTime is how long after a request the engine's queue stays full.
	stallTime  = 12 * time.Millisecond
	homeRegion = "palermo"
)

// playHome plays requests that may be served in one region only, while opening packets to the engine there
// are lost. HOME: no body is sent to a machine in another region.
func playHome(ctx context.Context, stage *stage) (bool, error) {
	fleet, err := newFleet(stage, sicily, len(sicily))
	if err != nil {
		return false, err
	}
	fleet.shortIdle, fleet.findsSenders = time.Second, true
	defer fleet.stop()
	if err := fleet.startAll(true); err != nil {
		return false, err
	}
	sent := firstConfiguration()
	for position := range sent.Routes {
		sent.Routes[position].AllowedRegions = []string{homeRegion}
		if sent.Routes[position].RouteType == "unsafe" {
			sent.Routes[position].TimeoutMS, sent.Routes[position].SloMS = 4000, 400
		}
	}
	if err := fleet.configure(ctx, sent); err != nil {
		return false, err
	}
	var engines []*standIn
	for place := range sicily {
		started, err := fleet.startEngine(ctx, place, plainService)
		if err != nil {
			return false, err
		}
		defer started.end()
		engines = append(engines, started)
	}
	if err := engines[0].stall.shortenQueue(); err != nil {
		return false, err
	}
	if err := fleet.waitReady(ctx); err != nil {
		return false, err
	}
	sleep(ctx, contactTime+time.Second)
	callers := newClients(ctx, fleet)
	front := fleet.fronts()[0]
	for range homeRequests {
		if stage.trouble {
			engines[0].stall.stop()
			time.AfterFunc(stallTime, engines[0].stall.resume)
		}
		callers.send(ctx, call{path: "/status/9", key: tenantKey, deadline: 4 * time.Second, isUnsafe: true, onlyFront: front})
		sleep(ctx, homePause)
	}
	regions := map[string]string{}
	for _, one := range fleet.machines {
		regions[one.name] = one.zone.region
	}
	elsewhere, all := 0, 0
	for _, engine := range engines {
		for _, one := range engine.runsSince(time.Time{}) {
			all++
			region, isMachine := regions[one.via]
			if !isMachine {
				return false, fmt.Errorf("the sender of %s is not known: %s", one.id, one.via)
			}
			if region != homeRegion {
				elsewhere++
				stage.record.linef("late", "%s reached %s through %s in %s", one.id, one.engine, one.via, region)
			}
		}
	}
	stage.record.linef("phase", "of %d requests that may be served in %s only, %d were sent through machines of other regions", all, homeRegion, elsewhere)
	return elsewhere > 0, nil
}

package simulate

import "time"

// injectFault injects one fault and schedules the next one. Faults may overlap.
func (s *crashSimulation) injectFault() {
	s.world.After(s.world.Between(time.Second, 7*time.Second), s.injectFault)
	downtime := s.world.Between(100*time.Millisecond, 3*time.Second)
	kind := s.world.Random.IntN(7)
	if s.options.OnlyUsualFaults {
		kind = []int{0, 2, 4, 5}[s.world.Random.IntN(4)]
		downtime /= 2
	}
	if s.options.Defect == SingleClockTrusted {
		kind = []int{2, 3, 6, 6}[s.world.Random.IntN(4)]
	}
	if s.options.Suspensions && s.world.Chance(0.5) {
		s.injectSuspension()
		return
	}
	switch kind {
	case 0:
		s.world.Fault("node killed")
		node := s.nodes[s.world.Random.IntN(len(s.nodes))]
		s.kill(node)
		s.world.After(downtime, func() { s.boot(node) })
	case 1:
		s.world.Fault("leader lost")
		s.stopLeader(downtime)
	case 2:
		s.world.Fault("all off")
		s.killAll(downtime)
	case 3:
		// The root becomes unreachable first; the nodes continue until they are killed as well.
		s.world.Fault("leader lost, then all off")
		before := s.world.Between(0, 4*time.Second)
		s.stopLeader(before + downtime)
		s.world.After(before, func() { s.killAll(downtime) })
	case 4:
		s.world.Fault("all cut from the root")
		s.partition(func(*spendingNode) bool { return true })
	case 5:
		s.world.Fault("zone cut")
		zone := string(rune('a' + s.world.Random.IntN(3)))
		s.partition(func(node *spendingNode) bool { return node.zone == zone })
	case 6:
		s.world.Fault("clock jump")
		wall := s.wallClocks[s.world.Random.IntN(len(s.wallClocks))]
		by := s.world.Between(-3*time.Second, 3*time.Second)
		wall.jumps = append(wall.jumps, clockJump{at: s.world.Now, by: by})
		s.world.After(s.world.Between(time.Second, 8*time.Second), func() {
			wall.jumps = append(wall.jumps, clockJump{at: s.world.Now, by: -by})
		})
	}
}

func (s *crashSimulation) kill(node *spendingNode) {
	if node.isDown {
		return
	}
	node.isDown = true
	s.crashed[node.holder.ID()] = node.holder
}

// stopLeader ends the leader. After a delay another process leads, possibly on the same machine.
func (s *crashSimulation) stopLeader(downtime time.Duration) { s.replaceLeader(downtime, nil) }

// replaceLeader ends the leader. After a delay follower leads, which led before, or a new process if
// follower is nil.
func (s *crashSimulation) replaceLeader(downtime time.Duration, follower *rootProcess) {
	s.root = nil
	process := s.process
	s.world.After(downtime, func() {
		if s.process == process && s.root == nil {
			s.startLeader(follower)
		}
	})
}

const (
	// maximumUnnoticedPause is the maximum time that a leader can be suspended without being
	// replaced.
	maximumUnnoticedPause = 900 * time.Millisecond
	// electionTime is the time until another process leads after the leader was suspended.
	electionTime = time.Second
)

// injectSuspension suspends a machine with its monotonic clock: that of an entry node, or that of
// the leader, which then continues to lead or leads again after another one.
func (s *crashSimulation) injectSuspension() {
	duration := s.world.Between(500*time.Millisecond, 10*time.Second)
	switch s.world.Random.IntN(3) {
	case 0:
		s.world.Fault("node suspended")
		node := s.nodes[s.world.Random.IntN(len(s.nodes))]
		if !node.isDown && !s.isPaused(node) {
			node.clock.suspend(s.world.Now, duration)
		}
	case 1:
		if s.root != nil && !s.process.clock.isPaused(s.world.Now) {
			s.world.Fault("leader suspended for a moment")
			s.process.clock.suspend(s.world.Now, min(duration, maximumUnnoticedPause))
		}
	case 2:
		if s.root != nil && !s.process.clock.isPaused(s.world.Now) {
			s.world.Fault("leader suspended, leads again")
			suspended := s.process
			suspended.clock.suspend(s.world.Now, duration)
			s.stopLeader(electionTime)
			s.world.After(duration+electionTime, func() { s.replaceLeader(electionTime, suspended) })
		}
	}
}

func (s *crashSimulation) killAll(downtime time.Duration) {
	if s.root != nil {
		s.stopLeader(downtime + s.world.Between(0, time.Second))
	}
	for _, node := range s.nodes {
		s.kill(node)
		s.world.After(downtime+s.world.Between(0, 300*time.Millisecond), func() { s.boot(node) })
	}
}

// partition separates the nodes for which isInside is true from the root and from all others.
func (s *crashSimulation) partition(isInside func(*spendingNode) bool) {
	var inside []string
	outside := []string{rootName}
	for _, node := range s.nodes {
		if isInside(node) {
			inside = append(inside, node.name)
			continue
		}
		outside = append(outside, node.name)
	}
	s.network.Partition(inside, outside)
	s.world.After(s.world.Between(time.Second, 9*time.Second), s.network.Heal)
}

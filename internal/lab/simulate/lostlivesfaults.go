package simulate

import "time"

// injectFault injects one fault and schedules the next one. Faults may overlap.
func (s *lostLives) injectFault() {
	s.world.After(s.world.Between(time.Second, 7*time.Second), s.injectFault)
	down := s.world.Between(100*time.Millisecond, 3*time.Second)
	kind := s.world.Random.IntN(7)
	if s.options.Sudden {
		kind = []int{0, 2, 4, 5}[s.world.Random.IntN(4)]
		down /= 2
	}
	if s.options.Defect == ClocksBelieved {
		kind = []int{2, 3, 6, 6}[s.world.Random.IntN(4)]
	}
	if s.options.Suspended && s.world.Chance(0.5) {
		s.suspend()
		return
	}
	switch kind {
	case 0:
		s.world.Fault("node killed")
		one := s.spenders[s.world.Random.IntN(len(s.spenders))]
		s.kill(one)
		s.world.After(down, func() { s.boot(one) })
	case 1:
		s.world.Fault("leader lost")
		s.loseRoot(down)
	case 2:
		s.world.Fault("all off")
		s.allOff(down)
	case 3:
		// The root becomes unreachable first; the nodes continue until they are killed as well.
		s.world.Fault("leader lost, then all off")
		before := s.world.Between(0, 4*time.Second)
		s.loseRoot(before + down)
		s.world.After(before, func() { s.allOff(down) })
	case 4:
		s.world.Fault("all cut from the root")
		s.cut(func(*spender) bool { return true })
	case 5:
		s.world.Fault("zone cut")
		zone := string(rune('a' + s.world.Random.IntN(3)))
		s.cut(func(one *spender) bool { return one.zone == zone })
	case 6:
		s.world.Fault("clock jump")
		wall := s.walls[s.world.Random.IntN(len(s.walls))]
		by := s.world.Between(-3*time.Second, 3*time.Second)
		wall.jumps = append(wall.jumps, clockJump{at: s.world.Now, by: by})
		s.world.After(s.world.Between(time.Second, 8*time.Second), func() {
			wall.jumps = append(wall.jumps, clockJump{at: s.world.Now, by: -by})
		})
	}
}

func (s *lostLives) kill(one *spender) {
	if one.down {
		return
	}
	one.down = true
	s.dead[one.holder.ID()] = one.holder
}

// loseRoot ends the leader. After a delay another process leads, possibly on the same machine.
func (s *lostLives) loseRoot(down time.Duration) { s.followRoot(down, nil) }

// followRoot ends the leader. After a delay follower leads, which led before, or a new process if
// follower is nil.
func (s *lostLives) followRoot(down time.Duration, follower *rootProcess) {
	s.root = nil
	process := s.process
	s.world.After(down, func() {
		if s.process == process && s.root == nil {
			s.bootRoot(follower)
		}
	})
}

const (
	// unmissed is the maximum time that a leader can be suspended without being replaced.
	unmissed = 900 * time.Millisecond
	// electionTime is the time until another process leads after the leader was suspended.
	electionTime = time.Second
)

// suspend suspends a machine with its monotonic clock: that of an entry node, or that of the
// leader, which then continues to lead or leads again after another one.
func (s *lostLives) suspend() {
	lasting := s.world.Between(500*time.Millisecond, 10*time.Second)
	switch s.world.Random.IntN(3) {
	case 0:
		s.world.Fault("node suspended")
		one := s.spenders[s.world.Random.IntN(len(s.spenders))]
		if !one.down && !s.stands(one) {
			one.clock.suspend(s.world.Now, lasting)
		}
	case 1:
		if s.root != nil && !s.process.clock.stands(s.world.Now) {
			s.world.Fault("leader suspended for a moment")
			s.process.clock.suspend(s.world.Now, min(lasting, unmissed))
		}
	case 2:
		if s.root != nil && !s.process.clock.stands(s.world.Now) {
			s.world.Fault("leader suspended, leads again")
			suspended := s.process
			suspended.clock.suspend(s.world.Now, lasting)
			s.loseRoot(electionTime)
			s.world.After(lasting+electionTime, func() { s.followRoot(electionTime, suspended) })
		}
	}
}

func (s *lostLives) allOff(down time.Duration) {
	if s.root != nil {
		s.loseRoot(down + s.world.Between(0, time.Second))
	}
	for _, one := range s.spenders {
		s.kill(one)
		s.world.After(down+s.world.Between(0, 300*time.Millisecond), func() { s.boot(one) })
	}
}

// cut partitions some nodes from the root and from all nodes that are not cut.
func (s *lostLives) cut(isCut func(*spender) bool) {
	var inside []string
	outside := []string{rootName}
	for _, one := range s.spenders {
		if isCut(one) {
			inside = append(inside, one.name)
			continue
		}
		outside = append(outside, one.name)
	}
	s.network.CutBetween(inside, outside)
	s.world.After(s.world.Between(time.Second, 9*time.Second), s.network.Heal)
}

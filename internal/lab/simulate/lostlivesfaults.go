package simulate

import "time"

// injectFault brings one fault about, and then the next one: they may overlap.
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
		// The root falls silent first: the nodes go on until they die as well.
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

// loseRoot ends the leader; another one, or the same machine's next process,
// leads after a while.
func (s *lostLives) loseRoot(down time.Duration) { s.followRoot(down, nil) }

// followRoot ends the leader; a process that led before leads after a while, or nil for a new
// one.
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
	// A leader that stands still for no longer is not missed.
	unmissed = 900 * time.Millisecond
	// Another one leads this long after it stood still.
	electionTime = time.Second
)

// suspend has a machine stand still, with its steady clock: a node's, or the leader's, which
// then goes on leading, or leads again behind another one.
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

// cut separates some nodes from the root and from all others that are not cut.
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

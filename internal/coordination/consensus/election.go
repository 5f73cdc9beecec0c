package consensus

// becomeFollower makes the replica a follower in a term. A higher term resets the vote.
func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term > c.hard.Term {
		c.hard.Term = term
		c.hard.Vote = 0
	}
	c.failReads()
	c.role = Follower
	c.leader = leader
	if leader != 0 {
		c.remainingStartElections = 0
	}
	c.transferTarget = 0
	c.resetElectionTimeout()
}

// campaign starts a pre-election or an election.
func (c *Core) campaign(role Role, transfer bool) {
	if !c.isVoter() {
		return
	}
	c.role = role
	c.leader = 0
	c.votes = map[ReplicaID]bool{c.options.ID: true}
	c.remainingStartElections = max(0, c.remainingStartElections-1)
	c.resetElectionTimeout()
	kind, term := MessagePreVote, c.hard.Term+1
	if role == Candidate {
		kind = MessageVote
		c.hard.Term = term
		c.hard.Vote = uint64(c.options.ID)
	}
	if c.wonElection() {
		c.winElection()
		return
	}
	for _, voter := range c.configuration.Voters() {
		if voter == c.options.ID {
			continue
		}
		c.send(Message{
			Kind: kind, To: voter, Term: term, Transfer: transfer,
			Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		})
	}
}

func (c *Core) wonElection() bool {
	granted := 0
	for _, voter := range c.configuration.Voters() {
		if c.votes[voter] {
			granted++
		}
	}
	return granted >= c.configuration.Quorum()
}

func (c *Core) winElection() {
	if c.role == PreCandidate {
		c.campaign(Candidate, false)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.remainingStartElections = 0
	c.leader = c.options.ID
	c.progress = map[ReplicaID]*progress{}
	c.reads = nil
	c.transferTarget = 0
	c.ticksSinceQuorum = 0
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.syncProgress()
	// Committing an empty entry commits what earlier leaders appended: an entry of an earlier term is
	// never committed by counting its own copies.
	c.appendEmpty()
	c.broadcastAppend()
}

func (c *Core) handleVoteRequest(message Message) {
	granted := c.canVoteFor(message)
	kind := MessagePreVoteResponse
	if message.Kind == MessageVote {
		kind = MessageVoteResponse
	}
	response := Message{Kind: kind, To: message.From, Reject: !granted}
	if granted && message.Kind == MessagePreVote {
		// The response carries the requested term, so that the candidate counts it.
		response.Term = message.Term
	}
	if granted && message.Kind == MessageVote {
		c.hard.Vote = uint64(message.From)
		c.electionElapsed = 0
	}
	c.send(response)
}

// canVoteFor reports whether the replica may grant the vote. It ensures that a leader holds every
// committed entry, and that each replica votes once per term.
func (c *Core) canVoteFor(message Message) bool {
	if !c.log.upToDate(message.Index, message.LogTerm) {
		return false
	}
	if message.Kind == MessagePreVote {
		return message.Term > c.hard.Term
	}
	return c.hard.Vote == 0 || c.hard.Vote == uint64(message.From)
}

func (c *Core) handleVoteResponse(message Message) {
	expected := MessageVoteResponse
	if c.role == PreCandidate {
		expected = MessagePreVoteResponse
	}
	if (c.role != PreCandidate && c.role != Candidate) || message.Kind != expected {
		return
	}
	c.votes[message.From] = !message.Reject
	if c.wonElection() {
		c.winElection()
		return
	}
	if c.lostElection() {
		c.becomeFollower(c.hard.Term, 0)
	}
}

func (c *Core) lostElection() bool {
	refused := 0
	for _, granted := range c.votes {
		if !granted {
			refused++
		}
	}
	return refused >= c.configuration.Quorum()
}

// hasLiveLeader reports whether the replica is or follows a live leader. It then ignores vote
// requests of candidates that merely missed the leader's heartbeats.
func (c *Core) hasLiveLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != 0 && c.electionElapsed < c.options.ElectionTicks
}

package consensus

import (
	"slices"

	"github.com/ravenway/ravenway/internal/state/journal"
)

// Step handles one message.
func (c *Core) Step(message Message) {
	if message.To != c.options.ID {
		return
	}
	if !c.acceptTerm(message) {
		return
	}
	switch message.Kind {
	case MessagePreVote, MessageVote:
		c.handleVoteRequest(message)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleVoteResponse(message)
	case MessageAppend:
		c.followLeader(message)
		c.handleAppend(message)
	case MessageHeartbeat:
		c.followLeader(message)
		c.handleHeartbeat(message)
	case MessageSnapshot:
		c.followLeader(message)
		c.handleSnapshot(message)
	case MessageAppendResponse:
		c.handleAppendResponse(message)
	case MessageHeartbeatResponse:
		c.handleHeartbeatResponse(message)
	case MessageTimeoutNow:
		if c.role == Follower && message.From == c.leader {
			c.campaign(Candidate, true)
		}
	}
}

// acceptTerm compares terms and reports whether the message is to be handled.
func (c *Core) acceptTerm(message Message) bool {
	if message.Term > c.hard.Term {
		isRequest := message.Kind == MessagePreVote || message.Kind == MessageVote
		if isRequest && !message.Transfer && c.hasLiveLeader() {
			return false
		}
		if message.Kind == MessagePreVote {
			return true
		}
		if message.Kind == MessagePreVoteResponse && !message.Reject {
			return true
		}
		c.becomeFollower(message.Term, 0)
		return true
	}
	if message.Term < c.hard.Term {
		c.respondToOldTerm(message)
		return false
	}
	return true
}

// respondToOldTerm sends the current term to the sender of a message with an old one, so that a replica
// that was partitioned does not stay in an old term.
func (c *Core) respondToOldTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Kind: MessageAppendResponse, To: message.From, Reject: true, Hint: c.log.lastIndex()})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteResponse, To: message.From, Reject: true})
	}
}

func (c *Core) followLeader(message Message) {
	if c.role != Follower || c.leader != message.From {
		c.becomeFollower(message.Term, message.From)
	}
	c.electionElapsed = 0
	c.ticksSinceQuorum = 0
}

func (c *Core) handleAppend(message Message) {
	response := Message{Kind: MessageAppendResponse, To: message.From, ReadSequence: message.ReadSequence}
	if message.Index < c.log.committed {
		// Everything up to the commit index is known to match.
		response.Index = c.log.committed
		c.send(response)
		return
	}
	term, found := c.log.term(message.Index)
	if !found || term != message.LogTerm {
		response.Reject = true
		response.Hint = min(message.Index-1, c.log.lastIndex())
		response.Index = message.Index
		c.send(response)
		return
	}
	before := c.log.unstable
	c.log.appendReceived(message.Entries)
	if c.log.unstable < before {
		c.rebuildConfigurations()
	} else if err := c.activateConfigurations(newerThan(message.Entries, c.configurationIndex)); err != nil {
		panic("consensus: " + err.Error())
	}
	response.Index = message.Index + uint64(len(message.Entries))
	c.commitTo(min(message.Commit, response.Index))
	c.send(response)
}

func newerThan(entries []journal.Entry, index uint64) []journal.Entry {
	first := slices.IndexFunc(entries, func(entry journal.Entry) bool { return entry.Index > index })
	if first < 0 {
		return nil
	}
	return entries[first:]
}

func (c *Core) commitTo(index uint64) {
	if index > c.log.committed {
		c.log.committed = index
		c.hard.Commit = index
	}
}

func (c *Core) handleHeartbeat(message Message) {
	// The leader never sends a commit index beyond the last entry that it knows to match on this
	// replica.
	c.commitTo(min(message.Commit, c.log.lastIndex()))
	c.send(Message{Kind: MessageHeartbeatResponse, To: message.From, ReadSequence: message.ReadSequence})
}

func (c *Core) handleSnapshot(message Message) {
	snapshot := message.Snapshot
	if snapshot == nil {
		return
	}
	if snapshot.Index <= c.log.committed {
		c.send(Message{Kind: MessageAppendResponse, To: message.From, Index: c.log.committed})
		return
	}
	if term, found := c.log.term(snapshot.Index); found && term == snapshot.Term {
		// The log already contains the entries that the snapshot covers.
		c.commitTo(snapshot.Index)
		c.send(Message{Kind: MessageAppendResponse, To: message.From, Index: snapshot.Index})
		return
	}
	configuration, err := DecodeConfiguration(snapshot.Configuration)
	if err != nil {
		return
	}
	c.log.restore(snapshot.Index, snapshot.Term)
	c.hard.Commit = snapshot.Index
	c.configurations = nil
	c.setConfiguration(snapshot.Index, configuration)
	c.restoreSnapshot = snapshot
	c.send(Message{Kind: MessageAppendResponse, To: message.From, Index: snapshot.Index})
}

func (c *Core) tickLeader() {
	for _, follower := range c.progress {
		follower.ticksSinceContact++
		c.expireInFlight(follower)
	}
	if c.electionElapsed >= c.options.ElectionTicks {
		c.electionElapsed = 0
		c.transferTarget = 0
		if !c.quorumActive() {
			// A leader without contact to a quorum must not go on serving requests.
			c.becomeFollower(c.hard.Term, 0)
			return
		}
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.options.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.broadcastHeartbeat()
	}
}

func (c *Core) quorumActive() bool {
	active := 0
	for _, voter := range c.configuration.Voters() {
		follower := c.progress[voter]
		if voter == c.options.ID || (follower != nil && follower.active) {
			active++
		}
	}
	for _, follower := range c.progress {
		follower.active = false
	}
	enough := active >= c.configuration.Quorum()
	if enough {
		c.ticksSinceQuorum = 0
	}
	return enough
}

func (c *Core) appendEmpty() {
	c.termStart = c.log.lastIndex() + 1
	c.appendEntry(journal.EntryEmpty, nil)
}

// syncProgress adds and removes progress records to match the members.
func (c *Core) syncProgress() {
	for _, member := range c.configuration.Members {
		if c.progress[member.ID] == nil {
			c.progress[member.ID] = &progress{
				next: c.log.lastIndex() + 1, probing: true, active: true, maximumWait: c.options.HeartbeatTicks,
			}
		}
	}
	for id := range c.progress {
		if _, found := c.configuration.Member(id); !found {
			delete(c.progress, id)
		}
	}
}

func (c *Core) broadcastAppend() {
	for _, member := range c.configuration.Members {
		if member.ID != c.options.ID {
			c.sendAppend(member.ID)
		}
	}
}

func (c *Core) sendAppend(to ReplicaID) {
	follower := c.progress[to]
	if follower.snapshotIndex != 0 || (follower.probing && follower.inFlight > 0) || follower.inFlight >= maximumInFlight {
		return
	}
	previous := follower.next - 1
	term, found := c.log.term(previous)
	if !found {
		c.sendSnapshot(to, follower)
		return
	}
	limit := maximumAppendBytes
	if follower.probing {
		limit = maximumProbeBytes
	}
	entries := c.log.slice(follower.next, limit)
	c.send(Message{Kind: MessageAppend, To: to, Index: previous, LogTerm: term, Entries: entries, Commit: c.log.committed})
	follower.inFlight++
	if follower.inFlight == 1 {
		follower.inFlightAge = 0
	}
	if !follower.probing {
		follower.next += uint64(len(entries))
	}
}

func (c *Core) sendSnapshot(to ReplicaID, follower *progress) {
	snapshot := c.options.SnapshotForPeer()
	if snapshot == nil {
		return
	}
	follower.snapshotIndex = snapshot.Index
	follower.snapshotAge = 0
	c.send(Message{Kind: MessageSnapshot, To: to, Snapshot: snapshot})
}

func (c *Core) broadcastHeartbeat() {
	for _, member := range c.configuration.Members {
		if member.ID == c.options.ID {
			continue
		}
		follower := c.progress[member.ID]
		c.send(Message{
			Kind: MessageHeartbeat, To: member.ID, ReadSequence: c.readSequence,
			Commit: min(c.log.committed, follower.match),
		})
	}
}

// expireInFlight treats appends and snapshots in flight as lost if their responses are overdue.
func (c *Core) expireInFlight(follower *progress) {
	follower.snapshotAge++
	follower.inFlightAge++
	// The count inFlight alone is not reliable: a duplicated response lowers it twice.
	unacknowledged := follower.inFlight > 0 || follower.next > follower.match+1
	if unacknowledged && follower.inFlightAge > follower.maximumWait {
		follower.maximumWait = min(2*follower.maximumWait, 2*c.options.ElectionTicks)
		follower.inFlightAge = 0
		follower.inFlight = 0
		follower.probing = true
		follower.next = follower.match + 1
	}
	if follower.snapshotIndex != 0 && follower.snapshotAge > c.options.ElectionTicks {
		follower.snapshotIndex = 0
	}
}

func (c *Core) handleHeartbeatResponse(message Message) {
	follower := c.recordContact(message)
	if follower == nil {
		return
	}
	if follower.next <= c.log.lastIndex() {
		c.sendAppend(message.From)
	}
	c.releaseReads()
}

func (c *Core) handleAppendResponse(message Message) {
	follower := c.recordContact(message)
	if follower == nil {
		return
	}
	follower.inFlight = max(0, follower.inFlight-1)
	if message.Reject {
		if message.Index <= follower.match {
			return
		}
		if follower.probing && message.Index != follower.next-1 {
			// The refusal is for an append that was sent before the probe in flight. After a lost
			// message, the follower refuses each append of the series that follows it.
			return
		}
		follower.probing = true
		follower.next = max(follower.match+1, min(message.Hint+1, follower.next-1))
		follower.inFlight = 0
		c.sendAppend(message.From)
		return
	}
	if message.Index > follower.match {
		follower.match = message.Index
		follower.inFlightAge = 0
		follower.maximumWait = c.options.HeartbeatTicks
	}
	if follower.snapshotIndex != 0 && message.Index >= follower.snapshotIndex {
		follower.snapshotIndex = 0
	}
	follower.probing = false
	follower.next = max(follower.next, follower.match+1)
	c.advanceCommit()
	if c.role == Leader && follower.next <= c.log.lastIndex() {
		c.sendAppend(message.From)
	}
	c.sendTimeoutNowIfCaughtUp()
}

// recordContact records contact with a follower and returns its progress, or nil if this replica
// does not lead it.
func (c *Core) recordContact(message Message) *progress {
	if c.role != Leader {
		return nil
	}
	follower := c.progress[message.From]
	if follower == nil {
		return nil
	}
	if follower.ticksSinceContact > 2*c.options.HeartbeatTicks && follower.probing {
		// The follower is reachable again after a gap; what was sent to it in between is lost.
		follower.inFlight, follower.maximumWait = 0, c.options.HeartbeatTicks
	}
	follower.active = true
	follower.ticksSinceContact = 0
	follower.readSequence = max(follower.readSequence, message.ReadSequence)
	return follower
}

// advanceCommit commits the newest entry of the leader's own term that is on the disks of a quorum.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, voter := range c.configuration.Voters() {
		matches = append(matches, c.progress[voter].match)
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.configuration.Quorum()]
	term, found := c.log.term(index)
	if index <= c.log.committed || !found || term != c.hard.Term {
		return
	}
	c.commitTo(index)
	c.releaseReads()
	if !c.isVoter() && c.configurationIndex <= c.log.committed {
		// The leader's own removal is committed, so it steps down.
		c.becomeFollower(c.hard.Term, 0)
		return
	}
	c.broadcastAppend()
}

func (c *Core) sendTimeoutNowIfCaughtUp() {
	if c.role != Leader || c.transferTarget == 0 {
		return
	}
	target := c.progress[c.transferTarget]
	if target != nil && target.match == c.log.lastIndex() {
		c.send(Message{Kind: MessageTimeoutNow, To: c.transferTarget})
	}
}

// releaseReads makes those reads ready that a quorum has confirmed since they were requested.
func (c *Core) releaseReads() {
	if c.role != Leader {
		return
	}
	confirmed := c.confirmedReadSequence()
	for len(c.reads) > 0 && c.reads[0].sequence <= confirmed && c.log.committed >= c.reads[0].index {
		c.readyReads = append(c.readyReads, ReadReady{Context: c.reads[0].context, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

func (c *Core) confirmedReadSequence() uint64 {
	var sequences []uint64
	for _, voter := range c.configuration.Voters() {
		if voter == c.options.ID {
			sequences = append(sequences, c.readSequence)
			continue
		}
		sequences = append(sequences, c.progress[voter].readSequence)
	}
	if len(sequences) == 0 {
		return 0
	}
	slices.Sort(sequences)
	return sequences[len(sequences)-c.configuration.Quorum()]
}

func (c *Core) failReads() {
	for _, read := range c.reads {
		c.readyReads = append(c.readyReads, ReadReady{Context: read.context, Failed: true})
	}
	c.reads = nil
}

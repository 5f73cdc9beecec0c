// Package consensus implements the replicated log of the control replicas: the Raft protocol with
// pre-vote, check-quorum, leadership transfer, learners, one-at-a-time membership changes and
// linearizable reads by read index.
//
// Core is a state machine without I/O: it reads no clock, opens no file and sends nothing. Its inputs
// are calls such as Tick, Step and Propose; Ready returns what must be persisted, what must then be
// sent, and what is committed. Messages of a Ready may be sent only after its hard state and entries
// are synced, so every acknowledgement stands for data on disk.
//
// A replica is identified by the identity in its data folder, not by its node's name. A node whose
// disk was lost has a new identity, starts as a learner and receives a vote only once its log on disk
// has caught up.
//
// Reference: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
package consensus

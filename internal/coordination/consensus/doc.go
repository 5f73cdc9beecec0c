// Package consensus is the replicated log that the control replicas keep: the
// Raft protocol with pre-vote, check-quorum, leadership transfer, learners,
// one-at-a-time membership change and linearizable reads by read index.
//
// Core is a pure step: Tick, Step, Propose and their kin go in; Ready hands out
// what must be persisted, then what must be sent, and what is committed. It
// reads no clock, opens no file and sends nothing. Messages handed out with a
// Ready may be sent only after that Ready's hard state and entries were synced:
// every acknowledgement stands for data on disk.
//
// A replica is known by the identity in its data folder, not by its node's
// name. A node whose disk came back empty has a new identity, starts as a
// learner and gets a vote only once its log on disk has caught up.
//
// Reference: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
package consensus

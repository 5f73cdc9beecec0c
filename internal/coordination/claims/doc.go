// Package claims keeps a small replicated register for each billed or non-repeatable request. Its
// value, the claim, records which node owns the request, which back end runs it, and what it used.
// It ensures that a request runs and is billed once although nodes crash or are suspended and
// resumed, and callers retry through other nodes.
//
// Each key has three acceptors, which store the register and vote on ballots. A proposer changes a
// register in two rounds, as in CASPaxos: it collects promises for a ballot from a majority, computes
// the next value from the newest accepted one, and has a majority accept it. The owner of a claim
// changes it again under the same ballot with the second round alone.
//
// Acceptors without a disk lose their promises in a restart. A restarted acceptor has a new
// incarnation and refuses proposals for a key until both other acceptors have sent it their records.
// Every message carries the sender's view of the acceptors' incarnations (a crash vector). A proposer
// discards a response of an incarnation that another response shows to have ended, and an acceptor
// refuses to accept under promises that were collected from an earlier incarnation of itself.
//
// References: D. Rystsov, "CASPaxos: Replicated State Machines without logs",
// 2018; E. Michael, D. Ports, N. Sharma, A. Szekeres, "Recovering Shared
// Objects Without Stable Storage", DISC 2017.
package claims

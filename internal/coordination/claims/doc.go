// Package claims keeps, for each billed or non-repeatable request, a small
// replicated register that says who runs it, where, and what it used. It is
// what makes a request run and be billed once although routers die, freeze,
// wake, and clients retry through other routers.
//
// Each key has three holders. A proposer changes a register in two rounds, as
// in CASPaxos: it collects promises for a ballot from a majority, computes the
// next value from the newest accepted one, and has a majority accept it. The
// owner of a claim changes it again under the same ballot with the second
// round alone.
//
// Holders without a disk forget their promises in a restart. A restarted
// holder takes a new incarnation and answers nothing for a key until both
// other holders have told it what they know. Every message carries the
// sender's view of the holders' incarnations (a crash vector). A proposer
// throws away an answer of an incarnation that another answer knows to be
// over, and a holder refuses to accept under promises that were collected from
// an earlier incarnation of itself.
//
// References: D. Rystsov, "CASPaxos: Replicated State Machines without logs",
// 2018; E. Michael, D. Ports, N. Sharma, A. Szekeres, "Recovering Shared
// Objects Without Stable Storage", DISC 2017.
package claims

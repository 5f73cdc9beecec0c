// Package escrow spends prepaid budgets without overspending under any
// partition: a node spends only what the root account granted it before.
//
// A node's Holder reserves the worst case of a request before it is
// dispatched, settles the use after, and keeps the rest for the next request.
// It asks the root for what it lacks and for what its recent demand will need,
// and gives back what it no longer needs. Before the root says that a budget
// is spent, it recalls the unused grants of every node that it reaches, so
// that a refusal is true while the nodes are connected. In a cut-off zone,
// nodes lend to each other.
//
// All amounts in messages are cumulative, so a lost, late, doubled or
// reordered message changes nothing. Nothing expires by time: neither clocks
// nor silence prove that a grant is unspent. What a lost node held comes back
// when its life is fenced and its claims are known.
package escrow

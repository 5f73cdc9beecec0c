// Package escrow spends prepaid budgets without overspending under any network partition: a node
// spends only what the root account has granted it before. The root is the leader of the control
// nodes, whose replicated log holds the accounts of all budgets.
//
// A node's Holder reserves the worst case of a request before it is dispatched, settles the use
// afterwards, and keeps the remainder for the next request. It requests from the root what it lacks
// and what its recent demand will require, and returns what it no longer requires. A grant is the
// amount of a budget that the root has moved to a holder. Before the root refuses a request because
// the budget is spent, it recalls the unused grants of every node that it reaches, so that the
// refusal is correct while the nodes are connected. In a partitioned zone, nodes lend to each
// other.
//
// All amounts are in tokens. Messages carry what was granted, used, returned and lent as cumulative
// amounts, so a lost, late, duplicated or reordered message changes nothing. Grants never expire:
// neither clocks nor missing contact prove that a grant is unspent.
// What a lost node held returns to the budget when its incarnation is fenced, so that it can't
// spend any more, and its claims (package claims) are known.
package escrow

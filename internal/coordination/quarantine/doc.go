// Package quarantine finds requests that end the engines which run them ("poison
// requests"), and keeps them from further engines.
//
// A request is named by its Fingerprint, since each return of it has another id and
// comes to another node. Nodes report the ends of engines that their runs broke with
// as Evidence; a Tracker holds who was there when which life of an engine ended, and
// derives from that alone who is quarantined. What it holds only grows, and a record's
// later generation replaces the earlier one, so nodes may exchange it in any order and
// any number of times, and those that were cut off from each other agree once they are
// joined.
//
// An engine's end takes all that ran there along, so being there proves nothing yet:
//
//   - Of the runs at one end only the likeliest count: those that had just begun, else
//     those of which nothing was heard yet.
//   - An end that a quarantined request explains counts against nobody else.
//   - A request that ran to its end at any engine is cleared.
//
// The package reads no clock and sends nothing. Guard is what the paths of requests
// ask; it alone is safe for concurrent use.
package quarantine

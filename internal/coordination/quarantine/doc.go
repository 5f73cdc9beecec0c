// Package quarantine finds requests that end the engines which run them ("poison
// requests"), and keeps them from further engines.
//
// A request is named by its Fingerprint, since each return of it has another id and
// comes to another node.
package quarantine

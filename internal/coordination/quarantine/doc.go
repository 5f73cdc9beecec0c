// Package quarantine detects requests that crash the engines which run them ("poison
// requests") and keeps them from further engines. Such a request is in quarantine: it is
// refused until the crashes recorded against it are too old to count.
//
// A request is identified by its Fingerprint, since each retry has another id and may arrive
// at another node. Nodes report the engine crashes that broke their runs as CrashReports. A
// Tracker records which requests were in flight when which incarnation of an engine crashed,
// and derives from that alone which requests are in quarantine. Its records only grow, and a
// record's later generation replaces the earlier ones. Nodes may therefore exchange records in
// any order and any number of times, and partitioned nodes agree once the partition heals.
//
// A crash breaks every run in flight at the engine, so a request's presence alone proves
// nothing:
//
//   - Of the runs at one crash only the most suspicious count: those whose response had just
//     begun, otherwise those without any response yet.
//   - A crash at which a quarantined request was in flight is explained by that request and
//     counts against no other one.
//   - A request that ran to completion at any engine is cleared.
//
// Engines may also crash on a part of a prompt, whatever else the request holds. Such a part is a
// suspect like a request, and is recorded, exchanged and weighed in the same way. A suspect is
// narrower than another one if fewer requests contain it: a request is narrower than its parts, and a
// later part of a prompt narrower than an earlier one. Of suspects that explain the same crashes the
// narrowest is quarantined. A part on which an engine wrote any of a response is cleared.
//
// The package reads no clock and sends nothing. Guard is the interface to the request paths.
// It alone is safe for concurrent use.
package quarantine

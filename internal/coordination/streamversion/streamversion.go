// Package streamversion keeps the version on which each resumable stream began, so that a stream that
// its caller takes up again at another node continues on that version.
//
// The node that relays a stream's first event sends a record of it to a few other nodes, its holders,
// which rendezvous hashing of the stream's key selects. A node at which the stream is taken up asks
// them. A record is only made of an event that was relayed, so no record is ever wrong: it can only be
// missing. History tells when a stream without a record can have begun on one version only.
//
// The package uses no network and no clock: times are those of the caller's monotonic clock.
package streamversion

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"
)

const (
	// lifetimeTimeouts is the time for which a stream is remembered, in multiples of its route's
	// timeout: each of a caller's attempts may take that long, and a stream that is taken up again is
	// recorded anew.
	lifetimeTimeouts = 2
	// MaximumLifetime bounds the time for which other nodes' records are kept.
	MaximumLifetime = 30 * time.Minute
	// maximumName bounds the length of the names in other nodes' records, in bytes.
	maximumName = 512
	// maximumBatchRecords bounds the records in one message.
	maximumBatchRecords = 1 << 16
)

// Lifetime returns the time for which a stream of a route with the given timeout is remembered.
func Lifetime(timeout time.Duration) time.Duration {
	return min(lifetimeTimeouts*timeout, MaximumLifetime)
}

// keyBytes is the length of a key.
const keyBytes = 16

// Key identifies a stream: a digest of its tenant and of the ID of the caller's attempt that brought
// its first event. Nobody who does not know the ID can ask for the stream, and no tenant for another
// one's.
type Key [keyBytes]byte

// KeyOf returns the key of a tenant's stream.
func KeyOf(tenant, attempt string) Key {
	digest := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(tenant)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(tenant))
	_, _ = digest.Write([]byte(attempt))
	return Key(digest.Sum(nil)[:keyBytes])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Owner identifies the tenant of a stream among those whose records a node keeps.
type Owner uint32

// OwnerOf returns the owner of a tenant's streams.
func OwnerOf(tenant string) Owner {
	digest := sha256.Sum256([]byte(tenant))
	return Owner(binary.BigEndian.Uint32(digest[:4]))
}

// Origin is the service and the version on which a stream began.
type Origin struct {
	Service, Version string
}

// Record is what a node knows of one stream.
type Record struct {
	Key      Key
	Owner    Owner
	Origin   Origin
	Lifetime time.Duration
}

// Batch carries records to a holder.
type Batch struct {
	Groups []Group `msgpack:"g"`
}

// Group holds the records of one tenant's streams with the same origin. Keys are the streams' keys, one
// after the other.
type Group struct {
	Owner      Owner  `msgpack:"o"`
	Service    string `msgpack:"s"`
	Version    string `msgpack:"v"`
	LifetimeMS uint64 `msgpack:"l"`
	Keys       []byte `msgpack:"k"`
}

// groupKey is what the records of a group have in common.
type groupKey struct {
	owner    Owner
	origin   Origin
	lifetime time.Duration
}

// NewBatch returns a message with the given records.
func NewBatch(records []Record) *Batch {
	batch, positions := &Batch{}, map[groupKey]int{}
	for _, one := range records {
		key := groupKey{owner: one.Owner, origin: one.Origin, lifetime: one.Lifetime}
		position, found := positions[key]
		if !found {
			position = len(batch.Groups)
			positions[key] = position
			batch.Groups = append(batch.Groups, Group{
				Owner: one.Owner, Service: one.Origin.Service, Version: one.Origin.Version, LifetimeMS: uint64(one.Lifetime.Milliseconds()),
			})
		}
		batch.Groups[position].Keys = append(batch.Groups[position].Keys, one.Key[:]...)
	}
	return batch
}

// errInvalid is returned for messages that no node of any build sends.
var errInvalid = errors.New("streamversion: the message is not valid")

// Records returns the records of a message, or an error if it is not valid.
func (b Batch) Records() ([]Record, error) {
	var records []Record
	for position, group := range b.Groups {
		if len(group.Keys)%keyBytes != 0 || len(group.Service) > maximumName || len(group.Version) > maximumName || group.LifetimeMS > uint64(MaximumLifetime.Milliseconds()) {
			return nil, fmt.Errorf("%w: group %d: %d bytes of keys, names of %d and %d bytes, a lifetime of %d ms", errInvalid, position,
				len(group.Keys), len(group.Service), len(group.Version), group.LifetimeMS)
		}
		if len(records)+len(group.Keys)/keyBytes > maximumBatchRecords {
			return nil, fmt.Errorf("%w: more than %d records", errInvalid, maximumBatchRecords)
		}
		for start := 0; start < len(group.Keys); start += keyBytes {
			records = append(records, Record{
				Key: Key(group.Keys[start : start+keyBytes]), Owner: group.Owner, Origin: Origin{Service: group.Service, Version: group.Version},
				Lifetime: time.Duration(group.LifetimeMS) * time.Millisecond,
			})
		}
	}
	return records, nil
}

// Question asks a node for a stream. Services are those of the stream's route, and LifetimeMS is how
// long the route's streams are remembered, in milliseconds.
type Question struct {
	Key        []byte   `msgpack:"k"`
	Services   []string `msgpack:"s"`
	LifetimeMS uint64   `msgpack:"l"`
}

// Ask returns the question for a stream.
func Ask(key Key, services []string, lifetime time.Duration) Question {
	return Question{Key: key[:], Services: services, LifetimeMS: uint64(lifetime.Milliseconds())}
}

// Lifetime returns how long the route's streams are remembered.
func (q Question) Lifetime() time.Duration {
	return time.Duration(min(q.LifetimeMS, uint64(MaximumLifetime.Milliseconds()))) * time.Millisecond
}

// ReadKey returns the key of the stream that is asked for.
func (q Question) ReadKey() (Key, error) {
	if len(q.Key) != keyBytes {
		return Key{}, fmt.Errorf("%w: a key of %d bytes", errInvalid, len(q.Key))
	}
	return Key(q.Key), nil
}

// Answer is a holder's answer. IsAmbiguous means that streams of several origins have the key.
type Answer struct {
	IsKnown     bool   `msgpack:"k"`
	IsAmbiguous bool   `msgpack:"a,omitempty"`
	Service     string `msgpack:"s,omitempty"`
	Version     string `msgpack:"v,omitempty"`
	// AgeMS is the time since the holder learned the record, in milliseconds.
	AgeMS uint64 `msgpack:"g,omitempty"`
	// OnlyVersion is the version that certainly all instances of the service have had for longer than
	// the stream can have lasted, if HasOnlyVersion is set.
	OnlyVersion    string `msgpack:"o,omitempty"`
	HasOnlyVersion bool   `msgpack:"h,omitempty"`
	// HasSeveralVersions reports whether the node has known of several versions of the service since the
	// stream can have begun.
	HasSeveralVersions bool `msgpack:"m,omitempty"`
}

// Origin returns the origin of a known stream that is not ambiguous.
func (a Answer) Origin() Origin { return Origin{Service: a.Service, Version: a.Version} }

// Age returns the time since the holder learned the record.
func (a Answer) Age() time.Duration { return time.Duration(a.AgeMS) * time.Millisecond }

// Survey collects the answers of nodes that have no record of a stream.
type Survey struct {
	// Asked is the number of other nodes that were asked, and Answered that of those that responded.
	Asked, Answered int
	only            string
	witnesses       int
	isDisputed      bool
}

// AddOwn adds what this node itself knows.
func (s *Survey) AddOwn(answer Answer) {
	s.isDisputed = s.isDisputed || answer.HasSeveralVersions
	if !answer.HasOnlyVersion {
		return
	}
	s.isDisputed = s.isDisputed || s.witnesses > 0 && s.only != answer.OnlyVersion
	s.only = answer.OnlyVersion
	s.witnesses++
}

// Add adds the answer of another node, or that it did not respond.
func (s *Survey) Add(answer Answer, hasResponded bool) {
	if hasResponded {
		s.Answered++
		s.AddOwn(answer)
	}
}

// IsComplete reports whether all nodes that were asked responded, and there were any.
func (s *Survey) IsComplete() bool { return s.Asked > 0 && s.Answered == s.Asked }

// OnlyVersion returns the version on which the stream must have begun: all nodes that were asked responded,
// at least one has been informed of all instances long enough, and none knows of another version.
func (s *Survey) OnlyVersion() (version string, isOnly bool) {
	return s.only, s.Answered == s.Asked && s.witnesses > 0 && !s.isDisputed
}

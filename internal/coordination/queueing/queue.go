// Package queueing implements the queue of one service's requests that wait for a back end.
//
// Requests are ordered by priority class first, with ageing: a request becomes more urgent the
// longer it waits, so that batch requests are not starved. Within a class, tenants share by weight:
// the next request is the oldest one of the tenant that has received the fewest tokens in
// proportion to its weight. The queue is bounded, and a request is dropped as soon as its deadline
// has passed.
package queueing

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// DefaultAgeing is the waiting time that raises a request by one class.
const DefaultAgeing = 20 * time.Second

// ErrFull is returned when the queue holds as many requests as its capacity.
var ErrFull = errors.New("queueing: the queue is full")

// Class is a priority class; lower ones are more urgent.
type Class int

// Priority classes, from the most to the least urgent.
const (
	Urgent Class = iota
	Normal
	Batch
)

// Item is one waiting request.
type Item[T any] struct {
	ID     string
	Tenant string
	// Weight is the tenant's relative share; 0 means 1.
	Weight uint32
	Class  Class
	// Cost is the maximum number of tokens that the request can use.
	Cost uint64
	// Arrived and Deadline are readings of the queue's clock.
	Arrived  time.Duration
	Deadline time.Duration
	Value    T
}

// Queue is a bounded queue with priority classes and weighted fair sharing between tenants. It has
// no clock and no goroutine, and it is not safe for concurrent use.
type Queue[T any] struct {
	capacity int
	ageing   time.Duration
	length   int
	tenants  map[string]*tenantQueue[T]
	// latestVirtualTime is the highest virtual time at which a tenant was served. A tenant that was
	// idle starts there again, so that it can't accumulate a share while it is idle.
	latestVirtualTime float64
}

// tenantQueue holds one tenant's requests by class, oldest first.
type tenantQueue[T any] struct {
	name    string
	classes [Batch + 1][]*Item[T]
	// virtualTime is the number of tokens that the tenant has received, divided by its weight. It
	// starts at latestVirtualTime.
	virtualTime float64
	length      int
}

// New returns an empty queue with a capacity in requests. An ageing of 0 means DefaultAgeing.
func New[T any](capacity int, ageing time.Duration) *Queue[T] {
	return &Queue[T]{capacity: capacity, ageing: cmp.Or(ageing, DefaultAgeing), tenants: map[string]*tenantQueue[T]{}}
}

// Length returns the number of waiting requests.
func (q *Queue[T]) Length() int { return q.length }

// Push adds a request. It returns ErrFull if the queue is full.
func (q *Queue[T]) Push(item *Item[T]) error {
	if q.length >= q.capacity {
		return ErrFull
	}
	tenant := q.tenants[item.Tenant]
	if tenant == nil {
		tenant = &tenantQueue[T]{name: item.Tenant, virtualTime: q.latestVirtualTime}
		q.tenants[item.Tenant] = tenant
	}
	if tenant.length == 0 {
		tenant.virtualTime = max(tenant.virtualTime, q.latestVirtualTime)
	}
	tenant.classes[item.Class] = append(tenant.classes[item.Class], item)
	tenant.length++
	q.length++
	return nil
}

// head is the oldest request of one tenant and class.
type head[T any] struct {
	item *Item[T]
	// class is the request's class after ageing.
	class       Class
	virtualTime float64
}

// Candidates returns the oldest waiting request of each tenant and class, in the order in which
// they should be served. A request that no back end can accept now thus does not block the others.
func (q *Queue[T]) Candidates(now time.Duration) []*Item[T] {
	var heads []head[T]
	for _, tenant := range q.tenants {
		for _, waiting := range tenant.classes {
			if len(waiting) > 0 {
				heads = append(heads, head[T]{item: waiting[0], class: q.agedClass(now, waiting[0]), virtualTime: tenant.virtualTime})
			}
		}
	}
	slices.SortFunc(heads, func(a, b head[T]) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.virtualTime, b.virtualTime),
			cmp.Compare(a.item.Arrived, b.item.Arrived),
			cmp.Compare(a.item.ID, b.item.ID),
		)
	})
	items := make([]*Item[T], len(heads))
	for position := range heads {
		items[position] = heads[position].item
	}
	return items
}

// agedClass returns a request's class, lowered by one for each ageing time that it has waited.
func (q *Queue[T]) agedClass(now time.Duration, item *Item[T]) Class {
	steps := Class((now - item.Arrived) / q.ageing)
	return max(Urgent, item.Class-steps)
}

// Take removes a request that is served and charges its cost to its tenant.
func (q *Queue[T]) Take(item *Item[T]) {
	if !q.Remove(item) {
		return
	}
	tenant := q.tenants[item.Tenant]
	q.latestVirtualTime = max(q.latestVirtualTime, tenant.virtualTime)
	tenant.virtualTime += float64(item.Cost) / float64(max(1, item.Weight))
}

// Remove removes a request that is abandoned, and reports whether it was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	tenant := q.tenants[item.Tenant]
	if tenant == nil {
		return false
	}
	position := slices.Index(tenant.classes[item.Class], item)
	if position < 0 {
		return false
	}
	tenant.classes[item.Class] = slices.Delete(tenant.classes[item.Class], position, position+1)
	tenant.length--
	q.length--
	return true
}

// Expire removes and returns the requests whose deadline has passed. It also removes the tenants
// that have no waiting requests and whose virtual time is at most latestVirtualTime.
func (q *Queue[T]) Expire(now time.Duration) []*Item[T] {
	var expired []*Item[T]
	for name, tenant := range q.tenants {
		for _, waiting := range tenant.classes {
			for _, item := range waiting {
				if now >= item.Deadline {
					expired = append(expired, item)
				}
			}
		}
		if tenant.length == 0 && tenant.virtualTime <= q.latestVirtualTime {
			delete(q.tenants, name)
		}
	}
	for _, item := range expired {
		q.Remove(item)
	}
	slices.SortFunc(expired, func(a, b *Item[T]) int { return cmp.Compare(a.ID, b.ID) })
	return expired
}

package streamversion

import (
	"container/heap"
	"time"
)

// Key identifies a stream over the attempts of its client. Attempt IDs are made by clients, so that those of
// two workspaces may be equal.
type Key struct {
	Workspace string
	// Attempt is the ID of the attempt that brought the first event.
	Attempt string
}

// Record is the version at which a stream began.
type Record struct {
	Key     Key
	Service string
	Version string
	// Expires is when no client can take the stream up any more.
	Expires time.Duration
	// Conflict is set if two records of the stream differ, as an attempt ID was used twice.
	Conflict bool
}

// Table holds records until they expire, and a bounded number of them: those that expire first give way. It is
// not safe for concurrent use.
type Table struct {
	limit   int
	records map[Key]*entry
	queue   expiryQueue
}

// entry is a record and its place in the queue.
type entry struct {
	Record
	place int
}

// NewTable returns a table for a number of records.
func NewTable(limit int) *Table {
	return &Table{limit: limit, records: make(map[Key]*entry)}
}

// Put adds a record. One of the same stream stays until the later of both ends.
func (t *Table) Put(r Record) {
	old := t.records[r.Key]
	if old == nil {
		t.add(r)
		return
	}
	old.Conflict = old.Conflict || r.Conflict || old.Version != r.Version || old.Service != r.Service
	if r.Expires > old.Expires {
		old.Expires = r.Expires
		heap.Fix(&t.queue, old.place)
	}
}

// add adds a record of a stream that has none.
func (t *Table) add(r Record) {
	if len(t.queue) >= t.limit {
		t.removeFirst()
	}
	added := &entry{Record: r}
	t.records[r.Key] = added
	heap.Push(&t.queue, added)
}

// removeFirst removes the record that expires first.
func (t *Table) removeFirst() {
	first := heap.Pop(&t.queue).(*entry)
	delete(t.records, first.Key)
}

// Get returns the record of a stream, and false if there is none.
func (t *Table) Get(key Key, now time.Duration) (Record, bool) {
	found := t.records[key]
	if found == nil || found.Expires <= now {
		return Record{}, false
	}
	return found.Record, true
}

// Expire removes the expired records.
func (t *Table) Expire(now time.Duration) {
	for len(t.queue) > 0 && t.queue[0].Expires <= now {
		t.removeFirst()
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.queue) }

// All returns the records of a service, or of all services if the name is empty.
func (t *Table) All(service string) []Record {
	var list []Record
	for _, e := range t.queue {
		if service == "" || e.Service == service {
			list = append(list, e.Record)
		}
	}
	return list
}

// expiryQueue is a heap of records by the time at which they expire.
type expiryQueue []*entry

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].Expires < q[j].Expires }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.place = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

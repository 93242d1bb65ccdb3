package pools

import (
	"acaciawinch/core/memory"
	"acaciawinch/wire/wirepb"
)

// Memory of a task and of a reply in bytes.
const (
	// taskBytes is the memory of a task without its items and strings.
	taskBytes = 1 << 10
	// ItemBytes is the memory of one item of a task: its place in the queue, and its result's handle. Clients choose the
	// number of items.
	ItemBytes = 128
	// stringBytes is the memory of a string without its content.
	stringBytes = 16
	// replyBytes is the memory of a reply without its handles.
	replyBytes = 256
)

// size returns the memory that an owner needs for a task.
func (t Task) size() int64 {
	return taskBytes + int64(t.Items)*ItemBytes + int64(len(t.Request)+len(t.Key)+len(t.Workspace)+len(t.Fingerprint)) + sizeOf(t.Inputs)
}

// sizeOf returns the memory of strings.
func sizeOf(list []string) int64 {
	size := int64(len(list)) * stringBytes
	for _, each := range list {
		size += int64(len(each))
	}
	return size
}

// queuedReply is a reply that waits to be sent. room is its memory.
type queuedReply struct {
	message *wirepb.PoolReply
	room    *memory.Reservation
}

// replyQueue holds the replies to one caller. It is safe for concurrent use.
type replyQueue struct {
	budget  *memory.Budget
	replies chan queuedReply
}

// newReplyQueue returns an empty queue.
func newReplyQueue(budget *memory.Budget) *replyQueue {
	return &replyQueue{budget: budget, replies: make(chan queuedReply, replyQueueSize)}
}

// add queues a reply, or returns false if the queue is full or there is no memory.
func (q *replyQueue) add(message *wirepb.PoolReply) bool {
	reply := queuedReply{message: message, room: q.budget.Begin(memory.Completion)}
	if reply.room.Grow(replyBytes+sizeOf(message.GetResult().GetHandles())) != nil {
		return false
	}
	select {
	case q.replies <- reply:
		return true
	default:
		reply.room.Release()
		return false
	}
}

// drop drops all replies.
func (q *replyQueue) drop() {
	for {
		select {
		case reply := <-q.replies:
			reply.room.Release()
		default:
			return
		}
	}
}

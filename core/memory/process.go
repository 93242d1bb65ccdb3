package memory

// Shares of the memory that a process may use.
const (
	// limitShare is the share of the memory setting that becomes the soft memory
	// limit of the garbage collector. The remainder is for kernel stacks and buffers,
	// which the runtime does not count.
	limitShare = 0.6
	// baseBytes is what a process uses without clients: its code's data, its copy of the fleet's state
	// and its connections to other processes.
	baseBytes = 32 << 20
	// budgetShare is the share of the remaining memory that may be reserved. The rest is for what the
	// garbage collector has not freed yet.
	budgetShare = 0.9
	// leastBudgetShare is the share of the memory setting that may be reserved if baseBytes leaves less.
	leastBudgetShare = 0.125
)

// RuntimeLimit returns the soft memory limit of the Go runtime in bytes, for a memory setting in MB.
func RuntimeLimit(memoryMB int) int64 { return int64(float64(memoryMB) * limitShare * (1 << 20)) }

// BudgetBytes returns how many bytes may be reserved by all that peers can make grow, for a memory setting in MB.
func BudgetBytes(memoryMB int) int64 {
	all := float64(memoryMB) * (1 << 20)
	return int64(max(budgetShare*(limitShare*all-baseBytes), leastBudgetShare*all))
}

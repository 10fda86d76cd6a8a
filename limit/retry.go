package limit

// Retry budget: retries may add at most retryRatio to the load, so that a
// failing service isn't pushed further down; retryBurst lets single failures at
// low load be retried.
const (
	retryRatio = 0.1
	retryBurst = 10
)

// RetryBudget bounds the retries of one service. The zero value has no tokens
// spent.
type RetryBudget struct {
	used float64
}

// RecordRequest earns the budget of one new request.
func (b *RetryBudget) RecordRequest() { b.used = max(b.used-retryRatio, 0) }

// TryRetry uses one retry, or reports false when the budget is used up.
func (b *RetryBudget) TryRetry() bool {
	if b.used+1 > retryBurst {
		return false
	}
	b.used++
	return true
}

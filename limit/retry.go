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
	spent float64
}

// Admitted earns the budget of one new request.
func (b *RetryBudget) Admitted() { b.spent = max(b.spent-retryRatio, 0) }

// Take uses one retry, or reports false when the budget is used up.
func (b *RetryBudget) Take() bool {
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}

package limit

// Retries add at most the share retryRatio to the load, so that they don't overload
// a failing service further. retryBurst allows retries of single failures when there
// are few requests.
const (
	retryRatio = 0.1
	retryBurst = 10
)

// RetryBudget limits the retries of one service. The zero value is a full budget.
type RetryBudget struct {
	used float64
}

// RecordRequest adds the retry allowance of one new request to the budget.
func (b *RetryBudget) RecordRequest() { b.used = max(b.used-retryRatio, 0) }

// TryRetry takes one retry from the budget. It returns false when the budget is
// exhausted.
func (b *RetryBudget) TryRetry() bool {
	if b.used+1 > retryBurst {
		return false
	}
	b.used++
	return true
}

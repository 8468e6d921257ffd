// Package retrybudgeter limits retries to a share of the requests, so that a
// failure does not cause a retry storm.
package retrybudgeter

import "sync/atomic"

const (
	// retryCost is what one retry takes from the budget.
	retryCost = 1000
	// requestDeposit is what each request adds to the budget: a tenth of a retry.
	requestDeposit = retryCost / 10
	// maxBalance bounds the budget that accumulates without retries.
	maxBalance = 20 * retryCost
)

// Budget is a retry budget. It is safe for concurrent use.
type Budget struct {
	balance atomic.Int64
	granted atomic.Int64
	denied  atomic.Int64
}

// Deposit adds the share of one request to the budget.
func (b *Budget) Deposit() {
	if b.balance.Load() < maxBalance {
		b.balance.Add(requestDeposit)
	}
}

// TryWithdraw takes one retry from the budget. It returns false if the budget is
// too small.
func (b *Budget) TryWithdraw() bool {
	for {
		saved := b.balance.Load()
		if saved < retryCost {
			b.denied.Add(1)
			return false
		}
		if b.balance.CompareAndSwap(saved, saved-retryCost) {
			b.granted.Add(1)
			return true
		}
	}
}

// Totals returns how many retries were granted and how many were denied.
func (b *Budget) Totals() (taken, denied int64) { return b.granted.Load(), b.denied.Load() }

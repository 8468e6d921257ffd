// Package retrybudgeter bounds retries to a share of the traffic, so that a fault
// is never answered by a storm.
package retrybudgeter

import "sync/atomic"

const (
	// unit is one retry.
	unit = 1000
	// share is what each request adds: a tenth of a retry.
	share = unit / 10
	// reserve is the most that may be saved up.
	reserve = 20 * unit
)

// Budget is a budget of retries. Its methods may be called from any goroutine.
type Budget struct {
	saved atomic.Int64
	spent atomic.Int64
	short atomic.Int64
}

// Earn notes a request.
func (b *Budget) Deposit() {
	if b.saved.Load() < reserve {
		b.saved.Add(share)
	}
}

// Spend takes one retry from the budget, or returns false if there is none.
func (b *Budget) TryWithdraw() bool {
	for {
		saved := b.saved.Load()
		if saved < unit {
			b.short.Add(1)
			return false
		}
		if b.saved.CompareAndSwap(saved, saved-unit) {
			b.spent.Add(1)
			return true
		}
	}
}

// Spent returns how many retries were taken and how many were denied.
func (b *Budget) Totals() (taken, denied int64) { return b.spent.Load(), b.short.Load() }

// Package sizer compares, adds and subtracts the resource sizes of tasks and VMs.
package sizer

import "knapweedspur/internal/wire/message"

// Fits reports whether a size fits into the free resources.
func Fits(size, free message.Size) bool {
	return size.Millicores <= free.Millicores && size.Memory <= free.Memory && size.Accelerators <= free.Accelerators
}

// Add returns the sum of two sizes.
func Add(a, b message.Size) message.Size {
	return message.Size{Millicores: a.Millicores + b.Millicores, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Sub returns the difference of two sizes.
func Sub(a, b message.Size) message.Size {
	return message.Size{Millicores: a.Millicores - b.Millicores, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

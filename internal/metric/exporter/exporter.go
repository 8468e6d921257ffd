// Package exporter publishes metrics through expvar.
package exporter

import (
	"expvar"
	"sync"
)

var (
	mu      sync.Mutex
	current = map[string]func() any{}
)

// Publish publishes a metric. A later one of the same name takes its place,
// which expvar alone does not allow.
func Publish(name string, value func() any) {
	mu.Lock()
	defer mu.Unlock()
	if _, known := current[name]; !known {
		expvar.Publish(name, expvar.Func(func() any { return read(name) }))
	}
	current[name] = value
}

func read(name string) any {
	mu.Lock()
	value := current[name]
	mu.Unlock()
	return value()
}

// Package exporter publishes metrics through expvar.
package exporter

import (
	"expvar"
	"sync"
)

var (
	mu      sync.Mutex
	readers = map[string]func() any{}
)

// Publish publishes a metric. A later call with the same name replaces the
// earlier metric, which expvar by itself does not allow.
func Publish(name string, read func() any) {
	mu.Lock()
	defer mu.Unlock()
	if _, known := readers[name]; !known {
		expvar.Publish(name, expvar.Func(func() any { return readMetric(name) }))
	}
	readers[name] = read
}

func readMetric(name string) any {
	mu.Lock()
	read := readers[name]
	mu.Unlock()
	return read()
}

// Package message holds the types of every message and record that the
// processes exchange or keep in the log. message.go is generated from the
// files under schema by `make generate`.
package message

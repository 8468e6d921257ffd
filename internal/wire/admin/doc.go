// Package admin holds the types of the answers that entries give to operators
// and to each other. admin.go is generated from schema/admin.json by `make generate`.
package admin

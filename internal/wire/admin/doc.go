// Package admin holds the types of what entries tell operators. admin.go is
// generated from schema/admin.json by `make generate`.
package admin

// Package catal has the catalogue: the one document by which operators drive
// chervilspan. Each entry names an owner, a class and limits, and is a
// database group, a workspace or a route.
//
// The document is JSON with names in snake case. The reader refuses unknown
// fields and reports every error at once with its JSON path.
package catal

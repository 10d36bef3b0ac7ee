// Package jsonc parses JSON with comments and checks syntax, duplicate keys and a
// JSON Schema. Each error has its position in the source.
//
// Whether a document is accepted depends only on its bytes and its schema. The
// package has no mutable state.
package jsonc

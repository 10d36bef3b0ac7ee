// Package jsonc reads strict documents in JSON with comments: syntax, duplicate
// keys, a JSON Schema, and the position of every fault in the source.
//
// Whether a document is accepted depends on its bytes alone. The package holds
// no state besides compiled schemas.
package jsonc

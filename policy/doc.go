// Package policy holds the operators' configuration: parsing, checking and
// merging of the base document and a site's overlay.
//
// Acceptance is a pure function of the bytes of one document, and the merge of
// any accepted base with any accepted overlay is a valid policy. So all nodes
// reach the same policy in whatever order they see the documents.
package policy

// Package policy parses, validates and merges the operators' configuration: the
// base document and a site's overlay.
//
// Validation depends only on the bytes of one document, and merging any valid
// base with any valid overlay gives a valid policy. All nodes therefore reach
// the same policy regardless of the order in which they receive the documents.
package policy

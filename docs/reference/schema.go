package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// schema is the subset of JSON Schema that the documents' schemas use.
type schema struct {
	Ref               string             `json:"$ref"`
	Title             string             `json:"title"`
	Description       string             `json:"description"`
	Type              string             `json:"type"`
	Format            string             `json:"format"`
	Unit              string             `json:"unit"`
	Enum              []string           `json:"enum"`
	Minimum           json.Number        `json:"minimum"`
	Maximum           json.Number        `json:"maximum"`
	MinItems          json.Number        `json:"minItems"`
	MaxItems          json.Number        `json:"maxItems"`
	Default           json.RawMessage    `json:"default"`
	Required          []string           `json:"required"`
	Properties        properties         `json:"properties"`
	PatternProperties map[string]*schema `json:"patternProperties"`
	Items             *schema            `json:"items"`
	Defs              map[string]*schema `json:"$defs"`
}

type property struct {
	name   string
	schema *schema
}

// properties keeps the order of the source, which a map would lose.
type properties []property

// UnmarshalJSON implements json.Unmarshaler.
func (p *properties) UnmarshalJSON(src []byte) error {
	dec := json.NewDecoder(bytes.NewReader(src))
	if _, err := dec.Token(); err != nil {
		return err
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return err
		}
		s := &schema{}
		if err := dec.Decode(s); err != nil {
			return err
		}
		*p = append(*p, property{name: name.(string), schema: s})
	}
	return nil
}

// resolve follows a reference to a definition of the root schema.
func (s *schema) resolve(root *schema) (*schema, error) {
	if s.Ref == "" {
		return s, nil
	}
	def := root.Defs[strings.TrimPrefix(s.Ref, "#/$defs/")]
	if def == nil {
		return nil, fmt.Errorf("reference %s: no such definition", s.Ref)
	}
	return def, nil
}

// typeText describes the type in words.
func (s *schema) typeText() string {
	switch {
	case len(s.Enum) > 0:
		return "one of `" + strings.Join(s.Enum, "`, `") + "`"
	case s.Items != nil:
		return "list of " + s.Items.typeText()
	case len(s.PatternProperties) > 0:
		return "object by name"
	case s.Format == "target":
		return "service/operation"
	case s.Format == "go-duration":
		return "duration"
	case s.Format == "http-url":
		return "URL"
	case s.Format != "":
		return s.Format
	}
	return s.Type
}

// rangeText returns the accepted range, "" if the schema sets none.
func (s *schema) rangeText() string {
	switch {
	case s.Minimum != "" && s.Maximum != "":
		return s.Minimum.String() + " to " + s.Maximum.String()
	case s.MinItems != "" && s.MaxItems != "":
		return s.MinItems.String() + " to " + s.MaxItems.String() + " entries"
	}
	return ""
}

// defaultText returns the value of an omitted field, "required" or "none".
func (s *schema) defaultText(required bool) string {
	switch {
	case required:
		return "required"
	case len(s.Default) > 0:
		return strings.Trim(string(s.Default), `"`)
	}
	return "none"
}

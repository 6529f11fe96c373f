// Package wire holds the types that cross a process boundary: peer frames,
// platform objects and the engines' reports. The types are generated from
// schema.json; frames are encoded as CBOR and objects as JSON, both with the
// camel-case names of the schema.
package wire

//go:generate go tool -modfile=../../tools.mod go-jsonschema --only-models -p wire --tags json -o wire.go schema.json

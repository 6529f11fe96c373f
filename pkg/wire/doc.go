// Package wire defines the types that are exchanged between processes: peer frames,
// objects in the platform, and requests to engines and their reports. The types are
// generated from schema.json. Frames are encoded as CBOR and the rest as JSON, both
// with the camel-case names of the schema.
package wire

//go:generate go tool -modfile=../../tools.mod go-jsonschema --only-models -p wire --tags json -o wire.go schema.json

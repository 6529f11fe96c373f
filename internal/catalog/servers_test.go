package catalog_test

import (
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/platform"
)

const serverEntry = `{"service":"plain","addr":"10.0.0.1:80","zone":"a","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1}`

func updatedObject(version int64) platform.Object {
	return platform.Object{Key: "servers/s-1", Version: version, Value: []byte(serverEntry)}
}

func deletedObject(version int64) platform.Object {
	return platform.Object{Key: "servers/s-1", Version: version, Deleted: true}
}

// TestLateRemovalKeepsReappearedServer guards against removing a server that has
// reappeared in the meantime. A removal arrives late when a change sent by another VM
// overlaps with what this VM has already read.
func TestLateRemovalKeepsReappearedServer(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		changes []platform.Object
		inUse   bool
	}{
		{"removed after its last change", []platform.Object{updatedObject(5), deletedObject(7)}, false},
		{"removed at its last change", []platform.Object{updatedObject(5), deletedObject(5)}, false},
		{"removal without a version", []platform.Object{updatedObject(5), deletedObject(0)}, false},
		{"reappeared after the removal", []platform.Object{updatedObject(9), deletedObject(7)}, true},
		{"removed, reappeared, removed again", []platform.Object{updatedObject(5), deletedObject(7), updatedObject(9), deletedObject(10)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := catalog.NewServers()
			inUse := false
			for _, object := range c.changes {
				for _, change := range servers.Apply(now, platform.Listing{Objects: []platform.Object{object}}) {
					inUse = change.InUse()
				}
			}
			if inUse != c.inUse {
				t.Errorf("in use: %v, want %v", inUse, c.inUse)
			}
		})
	}
}

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

// TestLateRemovalDoesNotDropReturnedServer applies the removal of a server that came back since, as
// when what another VM tells overlaps with what this one read.
func TestLateRemovalDoesNotDropReturnedServer(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		changes []platform.Object
		used    bool
	}{
		{"removed after its last change", []platform.Object{updatedObject(5), deletedObject(7)}, false},
		{"removed at its last change", []platform.Object{updatedObject(5), deletedObject(5)}, false},
		{"version not told", []platform.Object{updatedObject(5), deletedObject(0)}, false},
		{"came back since", []platform.Object{updatedObject(9), deletedObject(7)}, true},
		{"removed, came back, removed again", []platform.Object{updatedObject(5), deletedObject(7), updatedObject(9), deletedObject(10)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := catalog.NewServers()
			used := false
			for _, o := range c.changes {
				for _, e := range s.Apply(now, platform.Listing{Objects: []platform.Object{o}}) {
					used = e.InUse()
				}
			}
			if used != c.used {
				t.Errorf("in use: %v, want %v", used, c.used)
			}
		})
	}
}

package catalog_test

import (
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/platform"
)

const entry = `{"service":"plain","addr":"10.0.0.1:80","zone":"a","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1}`

func present(version int64) platform.Object {
	return platform.Object{Key: "servers/s-1", Version: version, Value: []byte(entry)}
}

func removed(version int64) platform.Object {
	return platform.Object{Key: "servers/s-1", Version: version, Deleted: true}
}

// TestRemovalToldLate applies the removal of a server that came back since, as
// when what another VM tells overlaps with what this one read.
func TestRemovalToldLate(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		changes []platform.Object
		used    bool
	}{
		{"removed after its last change", []platform.Object{present(5), removed(7)}, false},
		{"removed at its last change", []platform.Object{present(5), removed(5)}, false},
		{"version not told", []platform.Object{present(5), removed(0)}, false},
		{"came back since", []platform.Object{present(9), removed(7)}, true},
		{"removed, came back, removed again", []platform.Object{present(5), removed(7), present(9), removed(10)}, false},
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

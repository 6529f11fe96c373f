package catalog

import (
	"maps"

	"github.com/pimentohinge/pimentohinge/platform"
)

// evacuations is the set of evacuated data centres, merged from listings and changes in the store.
// An entry holds until it is removed: unlike that of a server it does not expire while the store
// is unavailable.
type evacuations struct {
	// versions holds the store version at which the entry of a data centre last changed, also
	// after its removal. evacuated holds the data centres that have an entry.
	versions  map[string]int64
	evacuated map[string]bool
}

func newEvacuations() *evacuations {
	return &evacuations{versions: map[string]int64{}, evacuated: map[string]bool{}}
}

// apply merges a listing and reports whether the set has changed. What the entries contain does
// not matter.
func (e *evacuations) apply(listing platform.Listing) bool {
	before := e.dataCentres()
	seen := map[string]bool{}
	for _, object := range listing.Objects {
		dataCentre := platform.EvacuatedDataCentre(object.Key)
		seen[dataCentre] = true
		if object.Version != 0 && object.Version < e.versions[dataCentre] {
			continue
		}
		e.versions[dataCentre] = object.Version
		if object.Deleted {
			delete(e.evacuated, dataCentre)
		} else {
			e.evacuated[dataCentre] = true
		}
	}
	if listing.Full && listing.Malformed == 0 {
		for dataCentre := range e.evacuated {
			if !seen[dataCentre] && e.versions[dataCentre] <= listing.Version {
				delete(e.evacuated, dataCentre)
			}
		}
	}
	return !maps.Equal(before, e.evacuated)
}

// dataCentres returns a copy of the set.
func (e *evacuations) dataCentres() map[string]bool { return maps.Clone(e.evacuated) }

package routing

import "slices"

// Homes restricts the regions in which a request may be served. The zero value restricts
// nothing.
type Homes struct {
	// Restricted is set when only Regions are allowed, which may be none.
	Restricted bool
	// Regions is sorted.
	Regions []string
}

// HomesOf returns the homes of the requests of a route and a workspace, which may be nil. If both
// have homes, both hold.
func HomesOf(r Route, w *Workspace) Homes {
	switch {
	case w == nil || len(w.HomeRegions) == 0:
		return homesIn(r.HomeRegions)
	case len(r.HomeRegions) == 0:
		return homesIn(w.HomeRegions)
	}
	homes := homesIn(r.HomeRegions)
	homes.Regions = slices.DeleteFunc(homes.Regions, func(region string) bool { return !slices.Contains(w.HomeRegions, region) })
	return homes
}

func homesIn(regions []string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Homes{Restricted: true, Regions: slices.Compact(sorted)}
}

// Allow reports whether a request may be served in a region.
func (h Homes) Allow(region string) bool { return !h.Restricted || slices.Contains(h.Regions, region) }

// CurrentHomes returns the homes, in this state, of the requests of a route and a workspace of an
// earlier state. What this state lacks keeps the homes that it had.
func (s *State) CurrentHomes(r Route, w *Workspace) Homes {
	for i := range s.Routes {
		if s.Routes[i].Name == r.Name {
			r = s.Routes[i]
			break
		}
	}
	if w != nil {
		for i := range s.Workspaces {
			if s.Workspaces[i].Name == w.Name {
				w = &s.Workspaces[i]
				break
			}
		}
	}
	return HomesOf(r, w)
}

// UnknownHomes returns the regions in which a route or workspace has its home and that are not
// among regions, sorted.
func (s *State) UnknownHomes(regions []string) []string {
	var unknown []string
	add := func(homes []string) {
		for _, region := range homes {
			if !slices.Contains(regions, region) {
				unknown = append(unknown, region)
			}
		}
	}
	for i := range s.Routes {
		add(s.Routes[i].HomeRegions)
	}
	for i := range s.Workspaces {
		add(s.Workspaces[i].HomeRegions)
	}
	slices.Sort(unknown)
	return slices.Compact(unknown)
}

package configchain

import (
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Kinds of services.
const (
	KindModel = "model"
	KindPlain = "plain"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// TouchedObjects returns the sorted names, as kind/name, of the objects that a note
// adds, changes or withdraws.
func TouchedObjects(note wire.ReleaseNote) []string {
	set := map[string]bool{}
	for _, objects := range []*wire.Objects{note.Added, note.Changed} {
		if objects == nil {
			continue
		}
		for _, object := range objects.Services {
			set["service/"+object.Name] = true
		}
		for _, object := range objects.Workspaces {
			set["workspace/"+object.Name] = true
		}
		for _, object := range objects.Routes {
			set["route/"+object.Name] = true
		}
	}
	if withdrawn := note.Withdrawn; withdrawn != nil {
		for kind, names := range map[string][]string{"service/": withdrawn.Services, "workspace/": withdrawn.Workspaces, "route/": withdrawn.Routes} {
			for _, name := range names {
				set[kind+name] = true
			}
		}
	}
	out := make([]string, 0, len(set))
	for key := range set {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}

// Conflicts returns the objects that are touched by a note and also by any of the
// later revisions.
func Conflicts(note wire.ReleaseNote, later []wire.Revision) []string {
	touched := TouchedObjects(note)
	var conflicts []string
	for _, revision := range later {
		for _, object := range TouchedObjects(revision.Note) {
			if _, found := slices.BinarySearch(touched, object); found && !slices.Contains(conflicts, object) {
				conflicts = append(conflicts, object)
			}
		}
	}
	return conflicts
}

// Validate returns all reasons why the note cannot be appended to the state, or nil
// if it can.
func (s *State) Validate(note wire.ReleaseNote) []string {
	v := &validator{state: s}
	if !namePattern.MatchString(note.Id) {
		v.addf("id %q must consist of letters, digits, dots, hyphens and underscores, 63 at most", note.Id)
	}
	if len(TouchedObjects(note)) == 0 {
		v.addf("the note adds, changes and withdraws nothing")
	}
	v.checkExistence(note)
	if len(v.reasons) > 0 {
		return v.reasons
	}
	next, _ := s.Apply(s.Next(note, 0))
	v.state = next
	v.checkState()
	return v.reasons
}

// validator collects the reasons against a release note.
type validator struct {
	state   *State
	reasons []string
}

func (v *validator) addf(format string, args ...any) {
	v.reasons = append(v.reasons, fmt.Sprintf(format, args...))
}

// exists reports whether the state has an object, given as kind/name.
func (v *validator) exists(object string) bool {
	kind, name, _ := strings.Cut(object, "/")
	var ok bool
	switch kind {
	case "service":
		_, ok = v.state.Services[name]
	case "workspace":
		_, ok = v.state.Workspaces[name]
	case "route":
		_, ok = v.state.Routes[name]
	}
	return ok
}

// checkExistence checks that added objects do not exist, that changed and withdrawn
// ones do, and that no object is in more than one of the three lists.
func (v *validator) checkExistence(note wire.ReleaseNote) {
	seen := map[string]string{}
	for _, part := range []struct {
		verb string
		note wire.ReleaseNote
		want bool
	}{
		{"added", wire.ReleaseNote{Added: note.Added}, false},
		{"changed", wire.ReleaseNote{Changed: note.Changed}, true},
		{"withdrawn", wire.ReleaseNote{Withdrawn: note.Withdrawn}, true},
	} {
		for _, object := range TouchedObjects(part.note) {
			if before, twice := seen[object]; twice {
				v.addf("%s is both %s and %s", object, before, part.verb)
			}
			seen[object] = part.verb
			if exists := v.exists(object); exists != part.want {
				problem := "does not exist"
				if exists {
					problem = "exists already"
				}
				v.addf("%s cannot be %s: it %s at revision %d", object, part.verb, problem, v.state.Number)
			}
		}
	}
}

// checkState checks all objects of the state and their references.
func (v *validator) checkState() {
	for _, object := range sortedByName(v.state.Services) {
		v.checkService(object)
	}
	owners := map[string]string{}
	for _, object := range sortedByName(v.state.Workspaces) {
		v.checkWorkspace(object, owners)
	}
	for _, object := range sortedByName(v.state.Routes) {
		v.checkRoute(object)
	}
}

func (v *validator) checkName(kind, name string) {
	if !namePattern.MatchString(name) {
		v.addf("%s name %q must consist of letters, digits, dots, hyphens and underscores, 63 at most", kind, name)
	}
}

func (v *validator) checkService(service wire.Service) {
	v.checkName("service", service.Name)
	switch service.Kind {
	case KindModel:
		if service.Model == "" {
			v.addf("service/%s needs a model", service.Name)
		}
	case KindPlain:
		for _, call := range service.NonRepeatable {
			method, path, ok := strings.Cut(call, " ")
			if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
				v.addf("service/%s: nonRepeatable %q must look like POST /path", service.Name, call)
			}
		}
	default:
		v.addf("service/%s: kind %q must be model or plain", service.Name, service.Kind)
	}
}

func (v *validator) checkWorkspace(workspace wire.Workspace, owners map[string]string) {
	v.checkName("workspace", workspace.Name)
	if workspace.RequestsPerSecond < 0 || workspace.ConcurrentRequests < 0 || workspace.Weight < 0 {
		v.addf("workspace/%s: limits and weight must not be negative", workspace.Name)
	}
	for _, keyHash := range workspace.KeyHashes {
		if !hashPattern.MatchString(keyHash) {
			v.addf("workspace/%s: key hash %q is not a hexadecimal SHA-256", workspace.Name, keyHash)
		}
		if other, taken := owners[keyHash]; taken {
			v.addf("workspace/%s has a key of workspace/%s", workspace.Name, other)
		}
		owners[keyHash] = workspace.Name
	}
	for _, name := range workspace.Services {
		if _, ok := v.state.Services[name]; !ok {
			v.addf("workspace/%s uses service/%s, which does not exist", workspace.Name, name)
		}
	}
}

func (v *validator) checkRoute(route wire.Route) {
	v.checkName("route", route.Name)
	if _, ok := v.state.Services[route.Service]; !ok {
		v.addf("route/%s uses service/%s, which does not exist", route.Name, route.Service)
	}
	if route.From == route.To || route.From == "" || route.To == "" {
		v.addf("route/%s must lead from one region to another", route.Name)
	}
	if route.WaitPriceMs < 0 {
		v.addf("route/%s: waitPriceMs must not be negative", route.Name)
	}
}

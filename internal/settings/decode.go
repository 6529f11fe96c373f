package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	// Key is the dotted path of the setting; empty for the file as a whole.
	Key string
	// Reason says what is wrong and what is accepted.
	Reason string
}

// Problems lists all errors of one file.
type Problems struct {
	// File is the path of the file, as given by the operator.
	File string
	// List is never empty.
	List []Problem
}

// Error returns one line for each problem.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, problem := range p.List {
		key := problem.Key
		if key == "" {
			key = "(file)"
		}
		lines = append(lines, fmt.Sprintf("%s: %s: %s", p.File, key, problem.Reason))
	}
	return strings.Join(lines, "\n")
}

type problemCollector struct{ list []Problem }

func (c *problemCollector) add(key, format string, args ...any) {
	c.list = append(c.list, Problem{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// decodeObject decodes one JSON object into the struct to which out points.
// Unknown keys and wrong types are problems. Absent keys keep their defaults.
func decodeObject(data []byte, out any, problems *problemCollector) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var raw any
	if err := d.Decode(&raw); err != nil {
		problems.add("", "is not valid JSON: %v", err)
		return
	}
	if d.More() {
		problems.add("", "has data after the first JSON value")
	}
	decodeValue("", raw, reflect.ValueOf(out).Elem(), problems)
}

func decodeValue(key string, raw any, target reflect.Value, problems *problemCollector) {
	switch target.Kind() {
	case reflect.Struct:
		decodeStruct(key, raw, target, problems)
	case reflect.Slice:
		decodeSlice(key, raw, target, problems)
	case reflect.String:
		s, ok := raw.(string)
		if !ok {
			problems.add(key, "must be a string, not %s", jsonType(raw))
			return
		}
		target.SetString(s)
	case reflect.Bool:
		b, ok := raw.(bool)
		if !ok {
			problems.add(key, "must be true or false, not %s", jsonType(raw))
			return
		}
		target.SetBool(b)
	case reflect.Int:
		decodeInt(key, raw, target, problems)
	case reflect.Float64:
		decodeFloat(key, raw, target, problems)
	case reflect.Map:
		decodeMap(key, raw, target, problems)
	default:
		panic("settings: unsupported field kind " + target.Kind().String())
	}
}

func decodeInt(key string, raw any, target reflect.Value, problems *problemCollector) {
	n, ok := raw.(json.Number)
	if !ok {
		problems.add(key, "must be an integer, not %s", jsonType(raw))
		return
	}
	i, err := n.Int64()
	if err != nil {
		problems.add(key, "must be an integer, not %s", n)
		return
	}
	target.SetInt(i)
}

func decodeFloat(key string, raw any, target reflect.Value, problems *problemCollector) {
	n, ok := raw.(json.Number)
	if !ok {
		problems.add(key, "must be a number, not %s", jsonType(raw))
		return
	}
	f, err := n.Float64()
	if err != nil {
		problems.add(key, "must be a number, not %s", n)
		return
	}
	target.SetFloat(f)
}

func decodeMap(key string, raw any, target reflect.Value, problems *problemCollector) {
	object, ok := raw.(map[string]any)
	if !ok {
		problems.add(key, "must be an object, not %s", jsonType(raw))
		return
	}
	out := reflect.MakeMap(target.Type())
	for name, element := range object {
		value := reflect.New(target.Type().Elem()).Elem()
		decodeValue(joinKey(key, name), element, value, problems)
		out.SetMapIndex(reflect.ValueOf(name), value)
	}
	target.Set(out)
}

func decodeSlice(key string, raw any, target reflect.Value, problems *problemCollector) {
	list, ok := raw.([]any)
	if !ok {
		problems.add(key, "must be a list, not %s", jsonType(raw))
		return
	}
	out := reflect.MakeSlice(target.Type(), len(list), len(list))
	for i, element := range list {
		decodeValue(fmt.Sprintf("%s[%d]", key, i), element, out.Index(i), problems)
	}
	target.Set(out)
}

func decodeStruct(key string, raw any, target reflect.Value, problems *problemCollector) {
	object, ok := raw.(map[string]any)
	if !ok {
		problems.add(key, "must be an object, not %s", jsonType(raw))
		return
	}
	fields := map[string]int{}
	names := []string{}
	for i := range target.NumField() {
		name := target.Type().Field(i).Tag.Get("json")
		fields[name] = i
		names = append(names, name)
	}
	sort.Strings(names)
	given := make([]string, 0, len(object))
	for name := range object {
		given = append(given, name)
	}
	sort.Strings(given)
	for _, name := range given {
		i, known := fields[name]
		if !known {
			problems.add(joinKey(key, name), "is not a known key; known keys are: %s", strings.Join(names, ", "))
			continue
		}
		decodeValue(joinKey(key, name), object[name], target.Field(i), problems)
	}
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func jsonType(raw any) string {
	switch raw.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case json.Number:
		return "a number"
	case []any:
		return "a list"
	}
	return "an object"
}

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

type problemCollector struct{ problems []Problem }

func (c *problemCollector) add(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// decodeObject decodes one JSON object into the struct to which out points.
// Unknown keys and wrong types are problems. Absent keys keep their defaults.
func decodeObject(data []byte, out any, c *problemCollector) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var raw any
	if err := d.Decode(&raw); err != nil {
		c.add("", "is not valid JSON: %v", err)
		return
	}
	if d.More() {
		c.add("", "has data after the first JSON value")
	}
	decodeValue("", raw, reflect.ValueOf(out).Elem(), c)
}

func decodeValue(key string, raw any, v reflect.Value, c *problemCollector) {
	switch v.Kind() {
	case reflect.Struct:
		decodeStruct(key, raw, v, c)
	case reflect.Slice:
		decodeSlice(key, raw, v, c)
	case reflect.String:
		s, ok := raw.(string)
		if !ok {
			c.add(key, "must be a string, not %s", jsonType(raw))
			return
		}
		v.SetString(s)
	case reflect.Bool:
		b, ok := raw.(bool)
		if !ok {
			c.add(key, "must be true or false, not %s", jsonType(raw))
			return
		}
		v.SetBool(b)
	case reflect.Int:
		decodeInt(key, raw, v, c)
	case reflect.Float64:
		decodeFloat(key, raw, v, c)
	case reflect.Map:
		decodeMap(key, raw, v, c)
	default:
		panic("settings: unsupported field kind " + v.Kind().String())
	}
}

func decodeInt(key string, raw any, v reflect.Value, c *problemCollector) {
	n, ok := raw.(json.Number)
	if !ok {
		c.add(key, "must be an integer, not %s", jsonType(raw))
		return
	}
	i, err := n.Int64()
	if err != nil {
		c.add(key, "must be an integer, not %s", n)
		return
	}
	v.SetInt(i)
}

func decodeFloat(key string, raw any, v reflect.Value, c *problemCollector) {
	n, ok := raw.(json.Number)
	if !ok {
		c.add(key, "must be a number, not %s", jsonType(raw))
		return
	}
	f, err := n.Float64()
	if err != nil {
		c.add(key, "must be a number, not %s", n)
		return
	}
	v.SetFloat(f)
}

func decodeMap(key string, raw any, v reflect.Value, c *problemCollector) {
	m, ok := raw.(map[string]any)
	if !ok {
		c.add(key, "must be an object, not %s", jsonType(raw))
		return
	}
	out := reflect.MakeMap(v.Type())
	for name, e := range m {
		value := reflect.New(v.Type().Elem()).Elem()
		decodeValue(joinKey(key, name), e, value, c)
		out.SetMapIndex(reflect.ValueOf(name), value)
	}
	v.Set(out)
}

func decodeSlice(key string, raw any, v reflect.Value, c *problemCollector) {
	list, ok := raw.([]any)
	if !ok {
		c.add(key, "must be a list, not %s", jsonType(raw))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list), len(list))
	for i, e := range list {
		decodeValue(fmt.Sprintf("%s[%d]", key, i), e, out.Index(i), c)
	}
	v.Set(out)
}

func decodeStruct(key string, raw any, v reflect.Value, c *problemCollector) {
	m, ok := raw.(map[string]any)
	if !ok {
		c.add(key, "must be an object, not %s", jsonType(raw))
		return
	}
	fields := map[string]int{}
	names := []string{}
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("json")
		fields[name] = i
		names = append(names, name)
	}
	sort.Strings(names)
	given := make([]string, 0, len(m))
	for k := range m {
		given = append(given, k)
	}
	sort.Strings(given)
	for _, k := range given {
		i, known := fields[k]
		if !known {
			c.add(joinKey(key, k), "is not a known key; known keys are: %s", strings.Join(names, ", "))
			continue
		}
		decodeValue(joinKey(key, k), m[k], v.Field(i), c)
	}
}

func joinKey(key, k string) string {
	if key == "" {
		return k
	}
	return key + "." + k
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

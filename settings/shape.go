package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// checkShape records every unknown key and every value of a wrong type of raw
// for type t. encoding/json itself stops at the first unknown key and names no path.
func checkShape(path string, raw json.RawMessage, t reflect.Type, p *Problems) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) || string(raw) == "null" {
		checkLeaf(path, raw, t, p)
		return
	}
	switch {
	case t.Kind() == reflect.Struct:
		checkObject(path, raw, t, p)
	case t.Kind() == reflect.Map && t.Key().Kind() == reflect.String:
		var values map[string]json.RawMessage
		if decodeShape(path, raw, &values, "object", p) {
			for _, key := range sortedKeys(values) {
				checkShape(join(path, key), values[key], t.Elem(), p)
			}
		}
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		var values []json.RawMessage
		if decodeShape(path, raw, &values, "array", p) {
			for i, v := range values {
				checkShape(fmt.Sprintf("%s[%d]", path, i), v, t.Elem(), p)
			}
		}
	default:
		checkLeaf(path, raw, t, p)
	}
}

func checkObject(path string, raw json.RawMessage, t reflect.Type, p *Problems) {
	var values map[string]json.RawMessage
	if !decodeShape(path, raw, &values, "object", p) {
		return
	}
	fields := map[string]reflect.Type{}
	collectFields(t, fields)
	for _, key := range sortedKeys(values) {
		field, ok := fields[key]
		if !ok {
			p.Add(join(path, key), "unknown key")
			continue
		}
		checkShape(join(path, key), values[key], field, p)
	}
}

func collectFields(t reflect.Type, into map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case name == "-":
		case f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct:
			collectFields(f.Type, into)
		case !f.IsExported():
		case name == "":
			into[f.Name] = f.Type
		default:
			into[name] = f.Type
		}
	}
}

func decodeShape(path string, raw json.RawMessage, into any, want string, p *Problems) bool {
	if err := json.Unmarshal(raw, into); err != nil {
		p.Add(root(path), "must be an %s", want)
		return false
	}
	return true
}

func checkLeaf(path string, raw json.RawMessage, t reflect.Type, p *Problems) {
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		p.Add(root(path), "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// root names the whole file in a fault that has no path.
func root(path string) string {
	if path == "" {
		return "(file)"
	}
	return path
}

func sortedKeys(m map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

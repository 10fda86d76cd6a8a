package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// checkTypes records every unknown key and every value in raw that does not fit type t.
// encoding/json itself stops at the first unknown key and reports no path.
func checkTypes(path string, raw json.RawMessage, t reflect.Type, p *Problems) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) || string(raw) == "null" {
		checkValue(path, raw, t, p)
		return
	}
	switch {
	case t.Kind() == reflect.Struct:
		checkObject(path, raw, t, p)
	case t.Kind() == reflect.Map && t.Key().Kind() == reflect.String:
		var values map[string]json.RawMessage
		if decodeAs(path, raw, &values, "object", p) {
			for _, key := range sortedKeys(values) {
				checkTypes(joinPath(path, key), values[key], t.Elem(), p)
			}
		}
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		var values []json.RawMessage
		if decodeAs(path, raw, &values, "array", p) {
			for i, v := range values {
				checkTypes(fmt.Sprintf("%s[%d]", path, i), v, t.Elem(), p)
			}
		}
	default:
		checkValue(path, raw, t, p)
	}
}

// checkObject checks a JSON object against the fields of struct type t.
func checkObject(path string, raw json.RawMessage, t reflect.Type, p *Problems) {
	var values map[string]json.RawMessage
	if !decodeAs(path, raw, &values, "object", p) {
		return
	}
	fields := map[string]reflect.Type{}
	collectFields(t, fields)
	for _, key := range sortedKeys(values) {
		field, ok := fields[key]
		if !ok {
			p.Add(joinPath(path, key), "unknown key")
			continue
		}
		checkTypes(joinPath(path, key), values[key], field, p)
	}
}

// collectFields adds the type of each encoded field of t to fields, by its JSON name.
func collectFields(t reflect.Type, fields map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case name == "-":
		case f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct:
			collectFields(f.Type, fields)
		case !f.IsExported():
		case name == "":
			fields[f.Name] = f.Type
		default:
			fields[name] = f.Type
		}
	}
}

// decodeAs decodes raw into target, or records that it must be a value of kind want.
func decodeAs(path string, raw json.RawMessage, target any, want string, p *Problems) bool {
	if err := json.Unmarshal(raw, target); err != nil {
		p.Add(pathOrFile(path), "must be an %s", want)
		return false
	}
	return true
}

// checkValue checks that raw decodes into a value of type t.
func checkValue(path string, raw json.RawMessage, t reflect.Type, p *Problems) {
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		p.Add(pathOrFile(path), "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// pathOrFile returns path, or a name for the whole file if path is empty.
func pathOrFile(path string) string {
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

package strict

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// decoder stores nodes in Go values. It collects problems and continues.
type decoder struct{ problems []Problem }

func (d *decoder) add(path string, line int, text, allowed string) {
	d.problems = append(d.problems, Problem{path, line, text, allowed})
}

var timeType = reflect.TypeFor[time.Time]()

func (d *decoder) decodeValue(path string, n node, v reflect.Value) {
	switch {
	case v.Type() == timeType:
		d.decodeScalar(path, n, v, `a time as "2026-01-31T08:00:00Z"`)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(path, n, v)
	case v.Kind() == reflect.Map:
		d.decodeMap(path, n, v)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(path, n, v)
	default:
		d.decodeScalar(path, n, v, describeKind(v.Kind()))
	}
}

// describeKind returns the allowed values of a scalar type.
func describeKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint32:
		return "an integer from 0 to 4294967295"
	case reflect.Uint64:
		return "an integer from 0"
	case reflect.Float64:
		return "a number"
	}
	return k.String()
}

func (d *decoder) decodeScalar(path string, n node, v reflect.Value, allowed string) {
	if n.raw == nil || string(n.raw) == "null" {
		d.add(path, n.line, "has "+n.describe(), allowed)
		return
	}
	if err := json.Unmarshal(n.raw, v.Addr().Interface()); err != nil {
		d.add(path, n.line, "has "+n.describe(), allowed)
	}
}

// maxQuotedBytes is the length to which messages shorten an invalid value.
const maxQuotedBytes = 40

// describe returns the value of a node for a message.
func (n *node) describe() string {
	switch {
	case n.object:
		return "an object"
	case n.raw == nil:
		return "a list"
	case len(n.raw) > maxQuotedBytes:
		return string(n.raw[:maxQuotedBytes]) + "..."
	}
	return string(n.raw)
}

func (d *decoder) decodeStruct(path string, n node, v reflect.Value) {
	if !n.object {
		d.add(path, n.line, "has "+n.describe(), "an object")
		return
	}
	names := fieldNames(v.Type())
	seen := map[string]bool{}
	for _, f := range n.fields {
		p := path + "/" + EscapePointer(f.name)
		i := slices.Index(names, f.name)
		switch {
		case i < 0:
			d.add(p, f.line, "unknown field", strings.Join(names, ", "))
		case seen[f.name]:
			d.add(p, f.line, "the field appears twice", "one "+f.name)
		default:
			d.decodeValue(p, f.node, v.Field(i))
		}
		seen[f.name] = true
	}
}

// fieldNames returns the names of the fields in JSON; every field has a tag.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}

func (d *decoder) decodeMap(path string, n node, v reflect.Value) {
	if !n.object {
		d.add(path, n.line, "has "+n.describe(), "an object")
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(n.fields)))
	for _, f := range n.fields {
		p := path + "/" + EscapePointer(f.name)
		key := reflect.ValueOf(f.name).Convert(v.Type().Key())
		if v.MapIndex(key).IsValid() {
			d.add(p, f.line, "the entry appears twice", "one "+f.name)
			continue
		}
		e := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(p, f.node, e)
		v.SetMapIndex(key, e)
	}
}

func (d *decoder) decodeSlice(path string, n node, v reflect.Value) {
	if n.object || n.raw != nil {
		d.add(path, n.line, "has "+n.describe(), "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decodeValue(path+"/"+strconv.Itoa(i), item, v.Index(i))
	}
}

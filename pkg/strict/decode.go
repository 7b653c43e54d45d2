package strict

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// decoder fills Go values from nodes and goes on after a problem.
type decoder struct{ problems []Problem }

func (d *decoder) add(path string, line int, text, allowed string) {
	d.problems = append(d.problems, Problem{path, line, text, allowed})
}

var timeType = reflect.TypeFor[time.Time]()

func (d *decoder) value(path string, n node, v reflect.Value) {
	switch {
	case v.Type() == timeType:
		d.scalar(path, n, v, `a time as "2026-01-31T08:00:00Z"`)
	case v.Kind() == reflect.Struct:
		d.structure(path, n, v)
	case v.Kind() == reflect.Map:
		d.mapping(path, n, v)
	case v.Kind() == reflect.Slice:
		d.list(path, n, v)
	default:
		d.scalar(path, n, v, describe(v.Kind()))
	}
}

func describe(k reflect.Kind) string {
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

func (d *decoder) scalar(path string, n node, v reflect.Value, allowed string) {
	if n.raw == nil || string(n.raw) == "null" {
		d.add(path, n.line, "has "+n.describe(), allowed)
		return
	}
	if err := json.Unmarshal(n.raw, v.Addr().Interface()); err != nil {
		d.add(path, n.line, "has "+n.describe(), allowed)
	}
}

// maxQuote bounds how much of a wrong value a message repeats.
const maxQuote = 40

func (n *node) describe() string {
	switch {
	case n.object:
		return "an object"
	case n.raw == nil:
		return "a list"
	case len(n.raw) > maxQuote:
		return string(n.raw[:maxQuote]) + "..."
	}
	return string(n.raw)
}

func (d *decoder) structure(path string, n node, v reflect.Value) {
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
			d.value(p, f.node, v.Field(i))
		}
		seen[f.name] = true
	}
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}

func (d *decoder) mapping(path string, n node, v reflect.Value) {
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
		d.value(p, f.node, e)
		v.SetMapIndex(key, e)
	}
}

func (d *decoder) list(path string, n node, v reflect.Value) {
	if n.object || n.raw != nil {
		d.add(path, n.line, "has "+n.describe(), "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.value(path+"/"+strconv.Itoa(i), item, v.Index(i))
	}
}

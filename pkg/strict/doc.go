// Package strict reads JSON documents that people edit. It refuses unknown and
// repeated fields, goes on after a problem so that all are reported at once, and
// names the line and the JSON Pointer (RFC 6901) of each.
//
// # Usage
//
//	var cfg Settings
//	doc := strict.Decode(data, &cfg)
//	if doc.Syntax() {
//		doc.Add(check(&cfg)) // rules beyond the types
//	}
//	for _, p := range doc.Problems() {
//		fmt.Println(p) // line 3: /zone: has 7; allowed: a string
//	}
package strict
